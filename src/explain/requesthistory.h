#pragma once

#include "explain/logline.h"

#include <cstddef>
#include <iosfwd>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// Collects from the logs of several processes what happened to one request, and the state of each process at that
/// time.
class RequestHistory
{
public:
    explicit RequestHistory(std::string request);

    /// Adds a line of a log file. The line's process is the one that a log collector named, else it is the file name.
    void addLine(const std::string &file, std::string_view text);

    /// Whether any line is about the request.
    bool hasRequest() const;

    /// Prints the request's lines in order of time, each with its explanation, then the state of the processes.
    void print(std::ostream &out) const;

private:
    struct Entry {
        std::string process;
        LogLine line;
    };

    std::vector<Entry> sortedEntries() const;
    void printState(std::ostream &out, const std::string &process, const std::set<std::string> &servers) const;

    std::string m_request;
    std::vector<Entry> m_entries;
    /// Lines that report the state of a process, by process.
    std::map<std::string, std::vector<LogLine>> m_states;
    std::map<LogLineError, std::size_t> m_skippedLines;
};

} // namespace Cardamomhill

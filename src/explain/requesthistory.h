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

/// Collects from the logs of several processes what happened to one request, and what each process believed then.
class RequestHistory
{
public:
    explicit RequestHistory(std::string request);

    /// Takes a line of a log file. Its process is the one that a log collector named, or else the file's.
    void take(const std::string &file, std::string_view text);

    /// Whether any line names the request.
    bool isKnown() const;

    /// Writes the lines of the request in the order of their times, with their meaning, and the state of the processes.
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
    /// By process: lines that tell its state.
    std::map<std::string, std::vector<LogLine>> m_states;
    std::map<LogLineError, std::size_t> m_unread;
};

} // namespace Cardamomhill

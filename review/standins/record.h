#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace Review
{

/// The record of a run: what was sent, answered and run, each line with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);

    void add(const std::string &line);
    /// Adds a line and prints it.
    void conclude(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Milliseconds since the process started.
std::int64_t elapsedMs();

} // namespace Review

#pragma once

#include <mutex>
#include <string>

/// Writes what was sent, answered and run into a file, one line each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    /// May be called by several threads at once.
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    int m_descriptor;
    long long m_startedAt;
};

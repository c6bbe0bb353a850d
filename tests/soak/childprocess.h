#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Cardamomhill
{

/// A program in a separate process, whose output is appended to a file. The destructor kills it.
class ChildProcess
{
public:
    /// Throws std::system_error if the program cannot be started.
    ChildProcess(const std::vector<std::string> &command, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal unless the process has ended.
    void signal(int signalNumber);

    pid_t id() const;

    bool hasEnded();
    /// The status from waitpid(); valid once hasEnded() has returned true.
    int status() const;

private:
    pid_t m_id = 0;
    int m_status = 0;
    bool m_hasEnded = false;
};

} // namespace Cardamomhill

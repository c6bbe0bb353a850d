#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Cardamomhill
{

/// A program in a process of its own, whose output is appended to a file. Ends it when destroyed.
class ChildProcess
{
public:
    /// Throws std::system_error if the program cannot be started.
    ChildProcess(const std::vector<std::string> &command, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal unless the process has ended.
    void signal(int number);

    bool hasEnded();
    /// Status of waitpid() once it has ended.
    int status() const;

private:
    pid_t m_id = 0;
    int m_status = 0;
    bool m_hasEnded = false;
};

} // namespace Cardamomhill

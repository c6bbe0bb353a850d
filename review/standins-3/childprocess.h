#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

/// A process that this one starts, and ends with itself. Its output goes into a file.
class ChildProcess
{
public:
    ChildProcess(std::vector<std::string> command, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// The process is killed when the calling thread ends, which must be the main thread therefore.
    void start();
    void signal(int number) const;
    /// Waits until the process has ended; false once the time is over.
    bool waitForEnd(int timeoutMs);
    bool isRunning();
    /// How the last process that ended did: "signal 6", "exit 0".
    const std::string &endText() const;
    /// The text of the log file.
    std::string log() const;

private:
    std::vector<std::string> m_command;
    std::string m_logFile;
    pid_t m_pid = 0;
    std::string m_endText;
};

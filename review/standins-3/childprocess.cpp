#include "childprocess.h"

#include "message.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{

constexpr int PollMs = 5;
constexpr int NotStarted = 127;
constexpr int LogMode = 0644;

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string logFile)
    : m_command(std::move(command))
    , m_logFile(std::move(logFile))
{
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void ChildProcess::start()
{
    std::vector<char *> arguments;
    for (auto &word : m_command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        // The process ends with this one, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(NotStarted);
        }
        const int file = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(NotStarted);
    }
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        m_endText = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit " + std::to_string(WEXITSTATUS(status));
    }
    return m_pid > 0;
}

bool ChildProcess::waitForEnd(int timeoutMs)
{
    const auto deadline = nowMs() + timeoutMs;
    while (isRunning()) {
        if (nowMs() >= deadline) {
            return false;
        }
        sleepMs(PollMs);
    }
    return true;
}

const std::string &ChildProcess::endText() const
{
    return m_endText;
}

std::string ChildProcess::log() const
{
    std::ifstream file(m_logFile);
    return {std::istreambuf_iterator<char>(file), {}};
}

#include "soak/childprocess.h"

#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Cardamomhill
{

namespace
{

constexpr mode_t OutputFileMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &outputFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &argument : command) {
        // posix_spawn() does not change its arguments.
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, OutputFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A socket of this process that the child inherits would stay open after this process has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int error = posix_spawn(&m_id, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), command[0]);
    }
}

ChildProcess::~ChildProcess()
{
    if (!hasEnded()) {
        kill(m_id, SIGKILL);
        waitpid(m_id, &m_status, 0);
    }
}

void ChildProcess::signal(int signalNumber)
{
    if (!hasEnded()) {
        kill(m_id, signalNumber);
    }
}

pid_t ChildProcess::id() const
{
    return m_id;
}

bool ChildProcess::hasEnded()
{
    if (!m_hasEnded) {
        m_hasEnded = waitpid(m_id, &m_status, WNOHANG) == m_id;
    }
    return m_hasEnded;
}

int ChildProcess::status() const
{
    return m_status;
}

} // namespace Cardamomhill

#include "gateway.h"

#include "httpmessage.h"
#include "record.h"
#include "socket.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>

namespace Review
{

namespace
{

using namespace std::chrono_literals;

/// `memory-mb` of the machine.
constexpr std::size_t MemoryMegabytes = 182;
constexpr auto RestartDelay = 500ms;
constexpr auto CheckPeriod = 5ms;
constexpr auto ReadyTimeout = 10s;
constexpr int StatusOk = 200;
constexpr int KilobytesPerMegabyte = 1024;

} // namespace

Gateway::Gateway(const std::string &name, const std::string &directory, std::uint16_t storePort, Record &record)
    : m_name(name)
    , m_settings(directory + "/" + name + ".yaml")
    , m_log(directory + "/" + name + ".log")
    , m_record(record)
    , m_port(freePort())
    , m_operatorPort(freePort())
{
    const std::string host = "127.0.0.1:";
    std::ofstream(m_settings) << "host: " << name << "\nfailure_domain: zona-norte\nlisten: " << host << m_port
                              << "\noperator_listen: " << host << m_operatorPort << "\npeer_listen: " << host
                              << freePort() << "\nplatform: " << host << storePort
                              << "\nretry_slack: 219\nretry_ratio: 0.2\nretry_window_s: 10\ntermination_grace_s: 8\n"
                                 "coordinate_groups: true\nlink_megabits_per_second: 700.0\n";
    start();
    m_thread = std::thread([this] { supervise(); });
}

Gateway::~Gateway()
{
    m_isStopped = true;
    m_thread.join();
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

const std::string &Gateway::name() const
{
    return m_name;
}

std::uint16_t Gateway::port() const
{
    return m_port;
}

bool Gateway::isReady() const
{
    const auto socket = Socket::connectTo(m_operatorPort);
    std::string buffer;
    if (!socket.isOpen() || !socket.write("GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    socket.setReadTimeout(1s);
    const auto answer = readMessage(socket, buffer);
    return answer && answer->status() == StatusOk;
}

std::int64_t Gateway::startedAt() const
{
    return m_startedAt;
}

std::vector<Gateway::OwnEnd> Gateway::ownEnds()
{
    const std::lock_guard lock(m_mutex);
    return m_ownEnds;
}

std::size_t Gateway::peakMegabytes() const
{
    return m_peakMegabytes;
}

void Gateway::start()
{
    std::string program = "target/cardamomhill";
    std::string command = "gateway";
    std::string option = "--settings";
    char *const arguments[] = {program.data(), command.data(), option.data(), m_settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t process = 0;
    if (posix_spawn(&process, program.c_str(), &actions, nullptr, arguments, environ) == 0) {
        m_process = process;
    }
    posix_spawn_file_actions_destroy(&actions);
    m_startedAt = elapsedMs();
    m_record.add(m_name + " started");
}

void Gateway::supervise()
{
    while (!m_isStopped) {
        std::this_thread::sleep_for(CheckPeriod);
        int status = 0;
        const auto megabytes = residentMegabytes();
        m_peakMegabytes = std::max(m_peakMegabytes.load(), megabytes);
        std::string cause;
        if (megabytes > MemoryMegabytes) {
            kill(m_process, SIGKILL);
            waitpid(m_process, &status, 0);
            cause = "killed by the platform at " + std::to_string(megabytes) + " MB";
        } else if (waitpid(m_process, &status, WNOHANG) == m_process) {
            cause = WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                        : "exited with status " + std::to_string(WEXITSTATUS(status));
        } else {
            continue;
        }
        m_process = 0;
        recordEnd(cause);
        std::this_thread::sleep_for(RestartDelay);
        start();
    }
}

void Gateway::recordEnd(const std::string &cause)
{
    m_record.add(m_name + " " + cause);
    const std::lock_guard lock(m_mutex);
    m_ownEnds.push_back({elapsedMs(), cause});
}

std::size_t Gateway::residentMegabytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes / KilobytesPerMegabyte;
        }
    }
    return 0;
}

bool waitUntilReady(const std::vector<Gateway *> &gateways)
{
    const auto end = std::chrono::steady_clock::now() + ReadyTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (std::all_of(gateways.begin(), gateways.end(), [](const Gateway *gateway) { return gateway->isReady(); })) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace Review

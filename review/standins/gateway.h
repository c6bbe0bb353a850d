#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

class Record;

/// One entry host: a gateway process, started with the command of the deploy file and with settings as its template
/// gives them. The platform starts a process that ends again after a short delay, and kills one that uses more memory
/// than its machine has.
class Gateway
{
public:
    /// An end of the process that nobody but the platform's limit on memory has caused.
    struct OwnEnd {
        std::int64_t at = 0;
        std::string cause;
    };

    /// @param directory for settings and log
    Gateway(const std::string &name, const std::string &directory, std::uint16_t storePort, Record &record);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    /// Ends the process.
    ~Gateway();

    const std::string &name() const;
    std::uint16_t port() const;
    bool isReady() const;
    /// When the running process was started.
    std::int64_t startedAt() const;
    std::vector<OwnEnd> ownEnds();
    std::size_t peakMegabytes() const;

private:
    void start();
    void supervise();
    void recordEnd(const std::string &cause);
    std::size_t residentMegabytes() const;

    std::string m_name;
    std::string m_settings;
    std::string m_log;
    Record &m_record;
    std::uint16_t m_port;
    std::uint16_t m_operatorPort;
    std::atomic<pid_t> m_process = 0;
    std::atomic<std::int64_t> m_startedAt = 0;
    std::atomic<std::size_t> m_peakMegabytes = 0;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::vector<OwnEnd> m_ownEnds;
    std::thread m_thread;
};

/// Waits until all gateways say that they are ready; false if they don't.
bool waitUntilReady(const std::vector<Gateway *> &gateways);

} // namespace Review

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

class Gateway;
class Record;

/// A client that sends one order after the other on a connection to one host, which it keeps. It doesn't repeat them.
class Caller
{
public:
    struct Call {
        std::string id;
        std::int64_t sentAt = 0;
        /// How long the host's process had been running.
        std::int64_t processAge = 0;
        /// The connection had been used before.
        bool isConnectionKept = false;
        /// Status of the answer; 0 if the connection was closed without one.
        int status = 0;
    };

    /// @param name unique among all callers
    Caller(const Gateway &gateway, const std::string &name, std::string key, Record &record);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;
    ~Caller();

    /// Ends the thread after its current request.
    void stop();
    /// Only once it has stopped.
    const std::vector<Call> &calls() const;

private:
    void run();

    const Gateway &m_gateway;
    std::string m_name;
    std::string m_key;
    Record &m_record;
    std::atomic<bool> m_isStopped = false;
    std::vector<Call> m_calls;
    std::thread m_thread;
};

/// The number of calls that were answered with success.
std::size_t successCount(const std::vector<Caller::Call> &calls);

} // namespace Review

#pragma once

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace Cardamomhill
{

/// What the kernel states about a running process.
class ProcessStatus
{
public:
    explicit ProcessStatus(int process)
        : m_directory(std::filesystem::path("/proc") / std::to_string(process))
    {
    }

    /// A field of its memory: `VmRSS` is the resident set size, `VmHWM` the largest one so far.
    std::size_t memoryKilobytes(const std::string &field) const
    {
        std::ifstream status(m_directory / "status");
        std::string word;
        while (status >> word && word != field + ":") { }
        std::size_t kilobytes = 0;
        status >> kilobytes;
        REQUIRE(kilobytes > 0);
        return kilobytes;
    }

    std::size_t descriptorCount() const
    {
        const auto entries = std::filesystem::directory_iterator(m_directory / "fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    /// What waits to be sent or acknowledged on the connections from a port of this host.
    static std::size_t sendQueueKilobytes(unsigned port)
    {
        return queuedKilobytes([port](const Connection &connection) {
            return connection.localPort == port ? connection.sendQueueBytes : 0;
        });
    }

    /// What waits to be read on the connections to a port of this host.
    static std::size_t receiveQueueKilobytes(unsigned port)
    {
        return queuedKilobytes([port](const Connection &connection) {
            return connection.remotePort == port ? connection.receiveQueueBytes : 0;
        });
    }

private:
    struct Connection {
        unsigned localPort = 0;
        unsigned remotePort = 0;
        unsigned long sendQueueBytes = 0;
        unsigned long receiveQueueBytes = 0;
    };

    template<class BytesOf>
    static std::size_t queuedKilobytes(BytesOf bytesOf)
    {
        constexpr int FieldCount = 4;
        std::ifstream table("/proc/net/tcp");
        std::string line;
        std::size_t bytes = 0;
        while (std::getline(table, line)) {
            Connection connection;
            // Number, local address and port, remote ones, state, and the queues for sending and receiving.
            if (std::sscanf(line.c_str(),
                            " %*d: %*x:%x %*x:%x %*x %lx:%lx",
                            &connection.localPort,
                            &connection.remotePort,
                            &connection.sendQueueBytes,
                            &connection.receiveQueueBytes)
                == FieldCount) {
                bytes += bytesOf(connection);
            }
        }
        return bytes / 1024;
    }

    std::filesystem::path m_directory;
};

} // namespace Cardamomhill

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// A TCP socket on loopback with blocking calls.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// Listens on a port, or on a free one if it is 0. An invalid socket if the port is taken.
    static Socket listener(std::uint16_t port = 0);
    /// Connects to a port. An invalid socket if nobody listens there.
    /// @param receiveBytes size of the receive buffer; 0 leaves it to the kernel
    static Socket connected(std::uint16_t port, int receiveBytes = 0);

    Socket accept() const;

    bool isValid() const;
    std::uint16_t port() const;
    /// Sends everything. False if the connection is broken.
    bool send(std::string_view bytes) const;
    /// Appends what arrives within the time. 1 if something did, 0 at the end of the connection or after a reset, -1 if
    /// the time is over.
    int receive(std::string &buffer, int timeoutMs, std::size_t maxBytes = 16384) const;
    void shutDown() const;
    /// Closes with a reset.
    void reset();
    void close();

private:
    int m_descriptor = -1;
};

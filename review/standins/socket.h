#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Review
{

/// A TCP socket on the loopback address, with blocking calls.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor);
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    /// Listens on a free port if the port is 0.
    static Socket listenOn(std::uint16_t port);
    static Socket connectTo(std::uint16_t port);

    bool isOpen() const;
    std::uint16_t localPort() const;
    Socket accept() const;

    /// Whether all bytes were passed to the kernel.
    bool write(std::string_view bytes) const;
    /// Appends what arrives. False if the peer has closed the connection, on an error and after the timeout.
    bool readSome(std::string &buffer) const;
    void setReadTimeout(std::chrono::milliseconds timeout) const;
    /// Whether the peer has closed or reset the connection.
    bool isClosedByPeer() const;

    void close();
    /// Makes another thread's blocking call return.
    void shutDown() const;
    /// Closes the connection so that the peer receives a reset, as it does when unread bytes are left.
    void closeWithReset();

private:
    int m_descriptor = -1;
};

/// A port of the loopback address that nobody uses now.
std::uint16_t freePort();

} // namespace Review

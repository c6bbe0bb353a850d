#include "socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Review
{

namespace
{

constexpr int ListenBacklog = 512;
constexpr std::size_t ReadBytes = 16 * 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setFlag(int descriptor, int level, int option)
{
    const int on = 1;
    setsockopt(descriptor, level, option, &on, sizeof on);
}

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
    if (isOpen()) {
        setFlag(m_descriptor, IPPROTO_TCP, TCP_NODELAY);
    }
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

Socket::~Socket()
{
    close();
}

Socket Socket::listenOn(std::uint16_t port)
{
    Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setFlag(listener.m_descriptor, SOL_SOCKET, SO_REUSEADDR);
    const auto address = loopback(port);
    const bool isBound = bind(listener.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    if (!isBound || listen(listener.m_descriptor, ListenBacklog) != 0) {
        listener.close();
    }
    return listener;
}

Socket Socket::connectTo(std::uint16_t port)
{
    Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = loopback(port);
    if (connect(connection.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        connection.close();
    }
    return connection;
}

bool Socket::isOpen() const
{
    return m_descriptor >= 0;
}

std::uint16_t Socket::localPort() const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

Socket Socket::accept() const
{
    return Socket(accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
}

bool Socket::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Socket::readSome(std::string &buffer) const
{
    char bytes[ReadBytes];
    const auto received = recv(m_descriptor, bytes, sizeof bytes, 0);
    if (received <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(received));
    return true;
}

void Socket::setReadTimeout(std::chrono::milliseconds timeout) const
{
    timeval value{};
    value.tv_sec = timeout.count() / 1000;
    value.tv_usec = timeout.count() % 1000 * 1000;
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool Socket::isClosedByPeer() const
{
    char byte = 0;
    const auto received = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Socket::close()
{
    if (isOpen()) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void Socket::shutDown() const
{
    shutdown(m_descriptor, SHUT_RDWR);
}

void Socket::closeWithReset()
{
    const linger abrupt{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
    close();
}

std::uint16_t freePort()
{
    return Socket::listenOn(0).localPort();
}

} // namespace Review

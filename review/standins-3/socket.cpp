#include "socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace
{

constexpr int Backlog = 256;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
}

Socket::~Socket()
{
    close();
}

Socket::Socket(Socket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

Socket Socket::listener(std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setOption(socket.m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto address = loopback(port);
    if (bind(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(socket.m_descriptor, Backlog) != 0) {
        socket.close();
    }
    return socket;
}

Socket Socket::connected(std::uint16_t port, int receiveBytes)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receiveBytes > 0) {
        setOption(socket.m_descriptor, SOL_SOCKET, SO_RCVBUF, receiveBytes);
    }
    const auto address = loopback(port);
    if (connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        socket.close();
        return socket;
    }
    setOption(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    return socket;
}

Socket Socket::accept() const
{
    Socket socket(accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC));
    if (socket.isValid()) {
        setOption(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return socket;
}

bool Socket::isValid() const
{
    return m_descriptor >= 0;
}

std::uint16_t Socket::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

bool Socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

int Socket::receive(std::string &buffer, int timeoutMs, std::size_t maxBytes) const
{
    pollfd wait{m_descriptor, POLLIN, 0};
    if (poll(&wait, 1, timeoutMs) <= 0) {
        return -1;
    }
    std::vector<char> bytes(maxBytes);
    const auto received = recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (received <= 0) {
        return 0;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(received));
    return 1;
}

void Socket::shutDown() const
{
    shutdown(m_descriptor, SHUT_RDWR);
}

void Socket::reset()
{
    const linger abort{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}

void Socket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

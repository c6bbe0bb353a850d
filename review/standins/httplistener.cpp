#include "httplistener.h"

#include "httpmessage.h"

namespace Review
{

HttpListener::HttpListener(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(Socket::listenOn(0))
    , m_thread([this] { acceptLoop(); })
{
}

HttpListener::~HttpListener()
{
    m_isStopped = true;
    m_listener.shutDown();
    m_thread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (auto &connection : m_connections) {
            connection.socket.shutDown();
        }
    }
    for (auto &connection : m_connections) {
        connection.thread.join();
    }
}

std::uint16_t HttpListener::port() const
{
    return m_listener.localPort();
}

void HttpListener::acceptLoop()
{
    while (!m_isStopped) {
        auto socket = m_listener.accept();
        if (!socket.isOpen()) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        auto &connection = m_connections.emplace_back();
        connection.socket = std::move(socket);
        connection.thread = std::thread([this, &connection] { serve(connection.socket); });
    }
}

void HttpListener::serve(Socket &socket)
{
    std::string buffer;
    bool isKept = true;
    while (isKept && !m_isStopped) {
        const auto request = readMessage(socket, buffer);
        isKept = request && m_handler(socket, *request);
    }
    const std::lock_guard lock(m_mutex);
    socket.close();
}

} // namespace Review

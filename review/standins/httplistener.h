#pragma once

#include "socket.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace Review
{

struct HttpMessage;

/// An HTTP server with a thread for each connection.
class HttpListener
{
public:
    /// Answers a request; false if the connection shall be closed.
    using Handler = std::function<bool(Socket &socket, const HttpMessage &request)>;

    explicit HttpListener(Handler handler);
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;
    /// Ends all connections and their threads.
    ~HttpListener();

    std::uint16_t port() const;

private:
    struct Connection {
        Socket socket;
        std::thread thread;
    };

    void acceptLoop();
    void serve(Socket &socket);

    Handler m_handler;
    Socket m_listener;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace Review

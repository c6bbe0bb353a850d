#pragma once

#include "message.h"
#include "record.h"
#include "socket.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/// A stand-in for a server. Each connection has a thread that reads requests and has a handler answer them.
class ModelServer
{
public:
    struct Call {
        const MessageHead &head;
        const std::string &body;
        const Socket &socket;
        const ModelServer &server;

        std::string id() const;
        /// The head of an answer, up to and with the empty line.
        std::string answerHead(int status, const std::string &fields) const;
    };
    /// Answers a call. Returns whether the connection is kept.
    using Handler = std::function<bool(const Call &)>;

    ModelServer(std::string id, Record &record, Handler handler);
    ~ModelServer();
    ModelServer(const ModelServer &) = delete;
    ModelServer &operator=(const ModelServer &) = delete;

    std::uint16_t port() const;
    const std::string &id() const;
    Record &record() const;
    bool isStopping() const;

private:
    void acceptLoop();
    void serve(const Socket &socket);

    std::string m_id;
    Record &m_record;
    Handler m_handler;
    Socket m_listener;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::list<Socket> m_sockets;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

/// One chunk of a chunked body.
std::string chunk(const std::string &data);

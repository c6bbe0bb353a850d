#include "modelserver.h"

#include <cstdio>
#include <cstdlib>

namespace
{

constexpr int IdleMs = 3600000;
constexpr int BodyMs = 5000;

} // namespace

std::string chunk(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

std::string ModelServer::Call::id() const
{
    return head.header("cardamomhill-request-id");
}

std::string ModelServer::Call::answerHead(int status, const std::string &fields) const
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nCardamomhill-Request-Id: " + id()
        + "\r\nCardamomhill-Response-Seal: seal." + server.id() + "\r\n" + fields + "\r\n";
}

ModelServer::ModelServer(std::string id, Record &record, Handler handler)
    : m_id(std::move(id))
    , m_record(record)
    , m_handler(std::move(handler))
    , m_listener(Socket::listener())
    , m_acceptor([this] { acceptLoop(); })
{
}

ModelServer::~ModelServer()
{
    m_isStopping = true;
    m_listener.shutDown();
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &socket : m_sockets) {
            socket.shutDown();
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

std::uint16_t ModelServer::port() const
{
    return m_listener.port();
}

const std::string &ModelServer::id() const
{
    return m_id;
}

Record &ModelServer::record() const
{
    return m_record;
}

bool ModelServer::isStopping() const
{
    return m_isStopping;
}

void ModelServer::acceptLoop()
{
    while (!m_isStopping) {
        auto socket = m_listener.accept();
        if (!socket.isValid()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(std::move(socket));
        m_threads.emplace_back([this, &accepted = m_sockets.back()] {
            serve(accepted);
            accepted.shutDown();
        });
    }
}

void ModelServer::serve(const Socket &socket)
{
    MessageReader reader(socket);
    while (!m_isStopping) {
        const auto head = reader.readHead(IdleMs);
        if (!head) {
            return;
        }
        const auto length = static_cast<std::size_t>(std::atoll(head->header("content-length").c_str()));
        const auto body = reader.readBody(length, BodyMs);
        if (!body || !m_handler({*head, *body, socket, *this})) {
            return;
        }
    }
}

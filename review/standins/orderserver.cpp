#include "orderserver.h"

#include "deployment.h"
#include "httpmessage.h"
#include "record.h"

#include <chrono>

namespace Review
{

namespace
{

constexpr std::chrono::milliseconds WorkTime{200};
constexpr int StatusOk = 200;

} // namespace

OrderServer::OrderServer(std::string id, Store &store, Record &record)
    : m_id(std::move(id))
    , m_record(record)
    , m_listener(std::make_unique<HttpListener>(
          [this](Socket &socket, const HttpMessage &request) { return answer(socket, request); }))
{
    registerServer(store, OrderService, m_id, port());
}

std::optional<std::int64_t> OrderServer::runAt(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? std::nullopt : std::optional(found->second);
}

std::uint16_t OrderServer::port() const
{
    return m_listener->port();
}

void OrderServer::end()
{
    m_record.add(m_id + " ends");
    m_listener.reset();
}

bool OrderServer::answer(Socket &socket, const HttpMessage &request)
{
    const auto id = request.header("cardamomhill-request-id");
    {
        const std::lock_guard lock(m_mutex);
        m_runs.try_emplace(id, elapsedMs());
    }
    m_record.add("ran " + id + " at " + m_id);
    std::this_thread::sleep_for(WorkTime);
    return socket.write(answerText(StatusOk, answerHeaders(id), "done " + id));
}

} // namespace Review

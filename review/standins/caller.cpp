#include "caller.h"

#include "deployment.h"
#include "gateway.h"
#include "httpmessage.h"
#include "record.h"
#include "socket.h"

#include <algorithm>
#include <chrono>

namespace Review
{

namespace
{

using namespace std::chrono_literals;

constexpr int DeadlineMs = 1500;
constexpr auto ReadTimeout = 5s;
constexpr auto ReconnectDelay = 200ms;
constexpr int StatusOk = 200;

} // namespace

Caller::Caller(const Gateway &gateway, const std::string &name, std::string key, Record &record)
    : m_gateway(gateway)
    , m_name(gateway.name() + "-" + name)
    , m_key(std::move(key))
    , m_record(record)
    , m_thread([this] { run(); })
{
}

Caller::~Caller()
{
    stop();
}

void Caller::stop()
{
    m_isStopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

const std::vector<Caller::Call> &Caller::calls() const
{
    return m_calls;
}

void Caller::run()
{
    int count = 0;
    while (!m_isStopped) {
        const auto socket = Socket::connectTo(m_gateway.port());
        socket.setReadTimeout(ReadTimeout);
        std::string buffer;
        bool isOpen = socket.isOpen();
        for (int used = 0; isOpen && !m_isStopped; ++used) {
            Call call;
            call.id = m_name + "-" + std::to_string(++count);
            call.sentAt = elapsedMs();
            call.processAge = call.sentAt - m_gateway.startedAt();
            call.isConnectionKept = used > 0;
            m_record.add("sent " + call.id);
            socket.write(requestText("POST", "/orders/new", call.id, m_key, DeadlineMs, "order " + call.id));
            const auto answer = readMessage(socket, buffer);
            call.status = answer ? answer->status() : 0;
            m_record.add("answered " + call.id + " " + (answer ? std::to_string(call.status) : "closed"));
            m_calls.push_back(call);
            isOpen = answer && answer->header("connection") != "close";
        }
        std::this_thread::sleep_for(ReconnectDelay);
    }
}

std::size_t successCount(const std::vector<Caller::Call> &calls)
{
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [](const Caller::Call &call) { return call.status == StatusOk; }));
}

} // namespace Review

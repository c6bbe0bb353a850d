#include "callers.h"

#include <algorithm>

namespace
{

constexpr int DeadlineMs = 8000;
constexpr int Ok = 200;

} // namespace

std::string
streamRequest(const std::string &host, const std::string &path, const std::string &id, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token k1\r\nCardamomhill-Request-Id: "
        + id + "\r\nCardamomhill-Request-Deadline: " + std::to_string(DeadlineMs)
        + "\r\nCardamomhill-Model: m\r\nCardamomhill-Token-Usage: 674,120\r\n" + fields
        + "Connection: close\r\nContent-Length: 2\r\n\r\nhi";
}

Callers::Callers(const Gateway &gateway, Record &record)
    : m_gateway(gateway)
    , m_record(record)
{
}

Callers::~Callers()
{
    outcomes();
}

void Callers::call(const std::string &id, long long delayMs, const std::string &request)
{
    sleepMs(delayMs);
    CallOutcome outcome;
    outcome.sentAt = nowMs();
    const auto answer = exchange(m_gateway.port, request, DeadlineMs);
    const int status = answer.head.status();
    outcome.hasBegun = status == Ok && !answer.body.empty();
    outcome.isServed = status == Ok && answer.end == AnswerEnd::Complete;
    m_record.write("caller " + id + ": status " + std::to_string(status) + ", " + nameOf(answer.end)
                   + (status == Ok ? "" : " " + answer.body));
    const std::lock_guard lock(m_mutex);
    m_outcomes.push_back(outcome);
}

const std::list<CallOutcome> &Callers::outcomes()
{
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_outcomes;
}

int Callers::servedCount()
{
    const auto &all = outcomes();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const auto &call) { return call.isServed; }));
}

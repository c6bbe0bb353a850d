#include "soak/ledger.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr unsigned FirstClientError = 400;
constexpr unsigned FirstServerError = 500;
const std::string Organisation = "workshop";

/// Whether the status guarantees that the call did not run and never will.
bool guaranteesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// The callers send only permitted calls, so that any other client error is a fault of the gateway.
bool isUnexpectedClientError(unsigned status)
{
    return status >= FirstClientError && status < FirstServerError && !guaranteesNotRun(status);
}

} // namespace

void Ledger::sent(const std::string &call, CallKind kind, std::size_t host)
{
    auto &entry = m_calls[call];
    entry.kind = kind;
    entry.host = host;
}

void Ledger::ran(const std::string &call, const std::string &organisation)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        addViolation("unexpected run", call + " ran although no caller sent it");
        return;
    }
    ++found->second.runs;
    if (organisation != Organisation) {
        addViolation("unexpected run", call + " ran for the organisation '" + organisation + "'");
    }
}

void Ledger::answered(const std::string &call, unsigned status)
{
    auto &entry = m_calls[call];
    entry.status = status;
    entry.wasRejectedInOutage = m_isOut && guaranteesNotRun(status);
}

void Ledger::setOutage(bool isOut)
{
    m_isOut = isOut;
}

void Ledger::unanswered(const std::string &call, bool isExcused)
{
    m_calls[call].isUnanswered = true;
    m_calls[call].isExcused = isExcused;
}

void Ledger::addViolation(const std::string &guarantee, const std::string &detail)
{
    m_violations.push_back(guarantee + ": " + detail);
}

const std::size_t *Ledger::hostOf(const std::string &call) const
{
    const auto found = m_calls.find(call);
    return found == m_calls.end() ? nullptr : &found->second.host;
}

std::vector<std::string> Ledger::violations() const
{
    auto all = m_violations;
    for (const auto &[id, call] : m_calls) {
        if (call.kind == CallKind::NonIdempotent && call.runs > 1) {
            all.push_back("at most once: " + id + " ran more than once");
        }
        if (call.kind == CallKind::NonIdempotent && guaranteesNotRun(call.status) && call.runs > 0) {
            all.push_back("not run: " + id + " ran although its status says that it did not");
        }
        if (call.wasRejectedInOutage && call.runs > 0) {
            all.push_back("outage: " + id + " ran although it was rejected in an outage");
        }
        if (isUnexpectedClientError(call.status)) {
            all.push_back("refused: " + id + " is permitted but the gateway refused it");
        }
        if (call.isUnanswered && !call.isExcused && call.runs > 0) {
            all.push_back("lost: " + id + " ran but its connection was closed without an answer");
        }
    }
    return all;
}

std::map<std::string, std::size_t> Ledger::outcomes() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, call] : m_calls) {
        ++counts[call.status != 0 ? std::to_string(call.status) : call.isUnanswered ? "unanswered" : "left"];
    }
    return counts;
}

std::size_t Ledger::rejectedInOutageCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_calls.begin(), m_calls.end(), [](const auto &entry) { return entry.second.wasRejectedInOutage; }));
}

} // namespace Cardamomhill

#include "standins/modelengine.h"

#include "net/httpexchange.h"
#include "net/notification.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr Seconds MaxWait{3600};

/// Depends only on prompt and position, so that a test can recompute the answer.
std::string tokenText(const std::string &prompt, std::uint64_t position)
{
    const std::string word = prompt.empty() ? "token" : prompt.substr(0, prompt.find(' '));
    return word + "-" + std::to_string(position) + " ";
}

} // namespace

struct ModelEngine::Sequence {
    explicit Sequence(asio::io_context &context)
        : notification(context)
    {
    }

    std::uint64_t produced = 0;
    std::uint64_t wanted = 0;
    Notification notification;
    bool isCancelled = false;
};

ModelEngine::ModelEngine(asio::io_context &context, Milliseconds stepTime)
    : m_context(context)
    , m_stepTime(stepTime)
    , m_stepTimer(context)
{
}

Task<> ModelEngine::generate(HttpExchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    if (!json.is_object()) {
        co_await exchange.sendAnswer(StatusBadRequest, "application/json", R"({"error":"not a JSON object"})");
        co_return;
    }
    const auto prompt = json.value("prompt", std::string());
    const bool isStreaming = json.value("stream", false);
    Sequence sequence(m_context);
    sequence.wanted = json.value("tokens", std::uint64_t{16});
    const auto position = m_running.insert(m_running.end(), &sequence);
    exchange.watchDisconnect([this, &sequence] {
        sequence.isCancelled = true;
        ++m_cancelled;
        sequence.notification.notify();
    });
    if (!m_isStepping) {
        m_isStepping = true;
        asio::co_spawn(m_context, stepLoop(), asio::detached);
    }
    bool isOpen = !isStreaming || co_await exchange.beginChunkedAnswer(StatusOk, "text/event-stream");
    std::string text;
    std::uint64_t sent = 0;
    while (isOpen && sent < sequence.wanted && !sequence.isCancelled) {
        co_await sequence.notification.waitUntil(steadyNow() + MaxWait);
        std::string newTokens;
        for (; sent < sequence.produced; ++sent) {
            const auto token = tokenText(prompt, sent);
            newTokens += isStreaming ? "data: " + token + "\n\n" : token;
        }
        if (m_faults.breakAfterTokens > 0 && sent >= m_faults.breakAfterTokens) {
            isOpen = false;
        } else if (isStreaming) {
            isOpen = co_await exchange.sendChunk(newTokens);
        } else {
            text += newTokens;
        }
    }
    m_running.erase(position);
    exchange.stopWatching();
    if (isOpen && !sequence.isCancelled) {
        if (isStreaming) {
            co_await exchange.endChunkedAnswer();
        } else {
            const nlohmann::json answer{{"text", text}};
            co_await exchange.sendAnswer(StatusOk, "application/json", answer.dump());
        }
    }
}

Task<> ModelEngine::stepLoop()
{
    auto next = steadyNow();
    while (!m_running.empty()) {
        next += m_stepTime + Milliseconds(m_faults.delayMs);
        SystemError ignored;
        m_stepTimer.expires_at(next);
        co_await m_stepTimer.async_wait(storeError(ignored));
        ++m_steps;
        for (auto *sequence : m_running) {
            if (sequence->produced < sequence->wanted) {
                ++sequence->produced;
                sequence->notification.notify();
            }
        }
    }
    m_isStepping = false;
}

std::string ModelEngine::load() const
{
    return nlohmann::json{{"running", m_running.size()}, {"steps", m_steps}, {"cancelled", m_cancelled}}.dump();
}

void ModelEngine::setFaults(const BackendFaults &faults)
{
    m_faults = faults;
}

} // namespace Cardamomhill

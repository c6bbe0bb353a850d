#include "entry/answerrelay.h"

#include "entry/attemptchannel.h"
#include "net/httpexchange.h"
#include "net/steadynow.h"
#include "wire/msgpackcodec.h"

namespace Cardamomhill
{

namespace
{

/// Answers up to this size are sent in one piece, so that a retry is possible until the last byte was received.
constexpr std::size_t MaxBufferedAnswerBytes = 256 * 1024;
/// After this many delivered bytes they are acknowledged, so that the agent may drop its copies.
constexpr std::size_t AcknowledgeIntervalBytes = 64 * 1024;
constexpr std::string_view EventStream = "text/event-stream";

HttpHeaders headersOf(const AnswerHead &head)
{
    return head.replayed ? HttpHeaders{{"Idempotency-Replayed", "true"}} : HttpHeaders{};
}

} // namespace

AnswerRelay::AnswerRelay(HttpExchange &exchange, AttemptChannel &channel, std::function<void()> acknowledge)
    : m_exchange(exchange)
    , m_channel(channel)
    , m_acknowledge(std::move(acknowledge))
{
}

Task<RelayEnd> AnswerRelay::run(SteadyTime deadline)
{
    RelayEnd end = RelayEnd::Completed;
    while (m_isRunning) {
        auto event = co_await m_channel.next(deadline);
        if (!event) {
            co_return m_channel.isAbandoned() ? RelayEnd::CallerDisconnected : RelayEnd::TimedOut;
        }
        // All events received so far are sent in one write.
        while (event && m_isRunning) {
            end = co_await handle(std::move(*event));
            event = m_channel.poll();
        }
        bool isSent = true;
        if (m_isRunning) {
            isSent = co_await sendPending();
        }
        if (!isSent) {
            co_return RelayEnd::CallerDisconnected;
        }
    }
    co_return end;
}

const std::optional<AttemptEvent> &AnswerRelay::failure() const
{
    return m_failure;
}

const std::optional<SteadyTime> &AnswerRelay::firstByteAt() const
{
    return m_firstByteAt;
}

unsigned AnswerRelay::status() const
{
    return m_head ? m_head->status : 0;
}

Task<RelayEnd> AnswerRelay::handle(AttemptEvent event)
{
    if (auto *payload = std::get_if<DeliverPayload>(&event)) {
        co_return co_await deliver(std::move(*payload));
    }
    m_isRunning = false;
    if (std::holds_alternative<AnswerComplete>(event)) {
        co_return co_await complete();
    }
    m_failure = std::move(event);
    co_return m_exchange.hasAnswerBegun() ? RelayEnd::BrokenAnswer : RelayEnd::FailedBeforeAnswer;
}

Task<RelayEnd> AnswerRelay::deliver(DeliverPayload payload)
{
    if (payload.kind != FrameKind::Head) {
        m_pending += payload.payload;
        co_return RelayEnd::Completed;
    }
    auto head = unpackMsgpack<AnswerHead>(payload.payload);
    if (head.has_error() || m_head) {
        m_isRunning = false;
        m_failure = AttemptFailed{AttemptOutcome::Unknown, AttemptReason::Malformed, 0};
        co_return RelayEnd::FailedBeforeAnswer;
    }
    m_head = std::move(head.value());
    co_return RelayEnd::Completed;
}

Task<RelayEnd> AnswerRelay::complete()
{
    m_acknowledge();
    bool sent = false;
    if (m_exchange.hasAnswerBegun()) {
        sent = co_await m_exchange.sendChunk(m_pending);
        if (sent) {
            sent = co_await m_exchange.endChunkedAnswer();
        }
    } else {
        m_firstByteAt = steadyNow();
        sent = co_await m_exchange.sendAnswer(
            m_head->status, m_head->contentType, std::move(m_pending), headersOf(*m_head));
    }
    co_return sent ? RelayEnd::Completed : RelayEnd::CallerDisconnected;
}

bool AnswerRelay::mustStream() const
{
    const std::string_view type = m_head ? std::string_view(m_head->contentType) : std::string_view();
    return type.substr(0, EventStream.size()) == EventStream || m_pending.size() > MaxBufferedAnswerBytes;
}

Task<bool> AnswerRelay::sendPending()
{
    if (!m_head || (!m_exchange.hasAnswerBegun() && !mustStream())) {
        co_return true;
    }
    bool isSent = true;
    if (!m_exchange.hasAnswerBegun()) {
        isSent = co_await beginAnswer();
    }
    const auto chunk = std::exchange(m_pending, std::string());
    if (isSent) {
        isSent = co_await m_exchange.sendChunk(chunk);
    }
    if (!isSent) {
        co_return false;
    }
    m_unacknowledged += chunk.size();
    if (m_unacknowledged >= AcknowledgeIntervalBytes) {
        m_unacknowledged = 0;
        m_acknowledge();
    }
    co_return true;
}

Task<bool> AnswerRelay::beginAnswer()
{
    m_firstByteAt = steadyNow();
    co_return co_await m_exchange.beginChunkedAnswer(m_head->status, m_head->contentType, headersOf(*m_head));
}

} // namespace Cardamomhill

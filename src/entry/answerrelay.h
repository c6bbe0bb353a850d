#pragma once

#include "core/clocktypes.h"
#include "core/nametable.h"
#include "entry/attemptevent.h"
#include "net/asio.h"
#include "wire/answerhead.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Cardamomhill
{

class AttemptChannel;
class HttpExchange;

/// How the relay of an answer ended.
enum class RelayEnd : std::uint8_t {
    /// The whole answer was sent to the caller.
    Completed,
    /// The attempt ended before anything was sent to the caller.
    FailedBeforeAnswer,
    /// The attempt failed after a part of the answer was sent; the caller sees an incomplete answer.
    BrokenAnswer,
    CallerDisconnected,
    TimedOut,
};

constexpr auto nameTable(RelayEnd)
{
    return std::to_array<NamedValue<RelayEnd>>({
        {RelayEnd::Completed, "completed"},
        {RelayEnd::FailedBeforeAnswer, "failed-before-answer"},
        {RelayEnd::BrokenAnswer, "broken-answer"},
        {RelayEnd::CallerDisconnected, "caller-gone"},
        {RelayEnd::TimedOut, "timed-out"},
    });
}

/// Relays the answer of one attempt to the caller. An answer that is not an event stream is buffered until it is
/// complete or exceeds a size limit, so that a failed attempt can be retried.
class AnswerRelay
{
public:
    AnswerRelay(HttpExchange &exchange, AttemptChannel &channel, std::function<void()> acknowledge);

    Task<RelayEnd> run(SteadyTime deadline);

    /// Why the attempt failed: AttemptNotSent, AttemptFailed or, if it has not failed, nothing.
    const std::optional<AttemptEvent> &failure() const;

    /// When the first byte of the answer was sent to the caller, or nothing.
    const std::optional<SteadyTime> &firstByteAt() const;

    /// The HTTP status of the answer, or 0 before its head was received.
    unsigned status() const;

private:
    Task<RelayEnd> handle(AttemptEvent event);
    Task<RelayEnd> deliver(DeliverPayload payload);
    Task<RelayEnd> complete();
    Task<bool> beginAnswer();
    Task<bool> sendPending();
    bool mustStream() const;

    HttpExchange &m_exchange;
    AttemptChannel &m_channel;
    std::function<void()> m_acknowledge;
    std::optional<AnswerHead> m_head;
    std::string m_pending;
    std::size_t m_unacknowledged = 0;
    std::optional<AttemptEvent> m_failure;
    std::optional<SteadyTime> m_firstByteAt;
    /// False once the attempt has ended.
    bool m_isRunning = true;
};

} // namespace Cardamomhill

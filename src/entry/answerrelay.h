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

enum class RelayEnd : std::uint8_t {
    /// The caller has the whole answer.
    Completed,
    /// The attempt ended before anything was sent to the caller.
    FailedBeforeAnswer,
    /// The answer broke after its start; the caller sees it as broken.
    BrokenAnswer,
    CallerGone,
    TimedOut,
};

constexpr auto nameTable(RelayEnd)
{
    return std::to_array<NamedValue<RelayEnd>>({
        {RelayEnd::Completed, "completed"},
        {RelayEnd::FailedBeforeAnswer, "failed-before-answer"},
        {RelayEnd::BrokenAnswer, "broken-answer"},
        {RelayEnd::CallerGone, "caller-gone"},
        {RelayEnd::TimedOut, "timed-out"},
    });
}

/// Relays the answer of one attempt to the caller. An answer that is not an event stream is held back until it is whole
/// or longer than a bound, so that a failed attempt can be retried.
class AnswerRelay
{
public:
    AnswerRelay(HttpExchange &exchange, AttemptChannel &channel, std::function<void()> acknowledge);

    Task<RelayEnd> run(SteadyTime deadline);

    /// Why the attempt failed; AttemptNotSent and AttemptFailed only.
    const std::optional<AttemptEvent> &failure() const;

    /// When the first byte of the answer was sent to the caller.
    const std::optional<SteadyTime> &firstByteAt() const;

    unsigned status() const;

private:
    Task<RelayEnd> handle(AttemptEvent event);
    Task<RelayEnd> deliver(DeliverPayload payload);
    Task<RelayEnd> complete();
    Task<bool> begin();
    Task<bool> flush();
    bool mustStream() const;

    HttpExchange &m_exchange;
    AttemptChannel &m_channel;
    std::function<void()> m_acknowledge;
    std::optional<AnswerHead> m_head;
    std::string m_pending;
    std::size_t m_unacknowledged = 0;
    std::optional<AttemptEvent> m_failure;
    std::optional<SteadyTime> m_firstByteAt;
    /// Set while the answer goes on.
    bool m_isRunning = true;
};

} // namespace Cardamomhill

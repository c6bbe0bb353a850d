#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "core/result.h"
#include "objectstore/backoff.h"
#include "objectstore/conditionalchange.h"
#include "objectstore/platformerror.h"
#include "objectstore/writeoutcome.h"
#include "objectstore/writerequest.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Makes one conditional update (compare-and-swap on the object's version) and determines its outcome.
///
/// Repeating a request is safe: its condition holds for one write at most. After a lost response the object is read
/// back, and the operation ids stored in it show whether the write took effect. While a lost request may still arrive
/// at the platform, the outcome is never reported as not applied.
///
/// The caller sends what nextRequest() returns, reports each answer with the attempt number of its request, and calls
/// nextRequest() again after each answer and at nextWakeUp(), until outcome() has a value.
class ConditionalWriter
{
public:
    /// The largest value that the platform accepts.
    static constexpr std::size_t MaxValueBytes = 1000000;

    /// Validates the change. The deadline applies to all attempts together.
    static Result<ConditionalWriter, PlatformError> create(ConditionalChange change, SteadyTime deadline);

    /// The request to send now, if any. A request without an answer within one second is treated as lost.
    std::optional<WriteRequest> nextRequest(SteadyTime now, Random &random);

    /// When to call nextRequest() again if no answer is received before.
    SteadyTime nextWakeUp() const;

    /// The platform wrote the object and gave it this version.
    void onWritten(std::uint64_t version);

    /// The condition did not hold. `current` is empty when the object does not exist.
    void onConflict(std::uint64_t attempt, std::optional<PlatformObject> current);

    /// The condition did not hold, and the answer did not contain the current object.
    void onConflictWithoutObject(std::uint64_t attempt, SteadyTime now);

    /// The request certainly had no effect, for example after a refused connection or a 503 from the platform itself.
    void onNotExecuted(std::uint64_t attempt, SteadyTime now, Random &random);

    /// The request may have had an effect: the connection broke after it was sent, or it timed out.
    void onResponseLost(std::uint64_t attempt, SteadyTime now, Random &random);

    /// The answer to a read; `current` is empty when the object does not exist.
    void onRead(std::uint64_t attempt, std::optional<PlatformObject> current, SteadyTime now, Random &random);

    /// The outcome; empty until it is determined.
    const std::optional<WriteOutcome> &outcome() const;

private:
    enum class Step : std::uint8_t { Put, Get };

    ConditionalWriter(ConditionalChange change, std::string value, SteadyTime deadline);

    std::uint64_t expectedVersion() const;
    bool isAwaited(std::uint64_t attempt) const;
    void checkTimeouts(SteadyTime now, Random &random);
    void scheduleRetry(Step step, SteadyTime now, Random &random);
    void decideOutcome(std::optional<PlatformObject> current, bool conditionFailed);
    void finish(WriteOutcomeCode code, std::optional<PlatformObject> current = std::nullopt, std::uint64_t version = 0);

    ConditionalChange m_change;
    std::string m_value;
    SteadyTime m_deadline;
    Backoff m_backoff;
    Step m_step = Step::Put;
    SteadyTime m_due;
    std::uint64_t m_attempt = 0;
    bool m_awaitsAnswer = false;
    bool m_putResponseLost = false;
    bool m_conditionFailed = false;
    std::optional<PlatformObject> m_lastRead;
    std::optional<WriteOutcome> m_outcome;
};

} // namespace Cardamomhill

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

/// Makes one conditional update and finds out what became of it.
///
/// A repeated request is harmless: its condition holds for one write at most. After a lost response the object is read
/// back; the operation ids in it tell whether the write took effect. While a lost request may still arrive at the
/// platform, the outcome is never reported as not applied.
///
/// The caller sends what nextRequest() returns, reports each answer with the attempt number of its request, and calls
/// nextRequest() again after each answer and at nextWakeUp(), until outcome() has a value.
class ConditionalWriter
{
public:
    /// The largest value that the platform accepts, in bytes.
    static constexpr std::size_t ValueLimit = 1000000;

    /// Checks the change. The deadline bounds all attempts together.
    static Result<ConditionalWriter, PlatformError> create(ConditionalChange change, SteadyTime deadline);

    /// The request to send now, if any. A request without an answer within a second counts as lost.
    std::optional<WriteRequest> nextRequest(SteadyTime now, Random &random);

    /// When to call nextRequest() again without an answer.
    SteadyTime nextWakeUp() const;

    /// The platform wrote the object and gave it this version.
    void onWritten(std::uint64_t version);

    /// The condition did not hold. The current object is absent when it does not exist.
    void onConflict(std::uint64_t attempt, std::optional<PlatformObject> current);

    /// The condition did not hold, and the answer did not contain the current object.
    void onConflictWithoutObject(std::uint64_t attempt, SteadyTime now);

    /// The request certainly had no effect, such as a refused connection or an answer 503 from the platform itself.
    void onNotExecuted(std::uint64_t attempt, SteadyTime now, Random &random);

    /// The request may have had an effect: the connection broke after it was sent, or a time limit passed.
    void onResponseLost(std::uint64_t attempt, SteadyTime now, Random &random);

    /// The answer to a read; absent when the object does not exist.
    void onRead(std::uint64_t attempt, std::optional<PlatformObject> current, SteadyTime now, Random &random);

    /// The result, once there is one.
    const std::optional<WriteOutcome> &outcome() const;

private:
    enum class Step : std::uint8_t { Put, Get };

    ConditionalWriter(ConditionalChange change, std::string value, SteadyTime deadline);

    std::uint64_t expectedVersion() const;
    bool isAwaited(std::uint64_t attempt) const;
    void expire(SteadyTime now, Random &random);
    void waitBefore(Step step, SteadyTime now, Random &random);
    void judge(std::optional<PlatformObject> current, bool refused);
    void finish(WriteOutcomeCode code, std::optional<PlatformObject> current = std::nullopt, std::uint64_t version = 0);

    ConditionalChange m_change;
    std::string m_value;
    SteadyTime m_deadline;
    Backoff m_backoff;
    Step m_step = Step::Put;
    SteadyTime m_due;
    std::uint64_t m_attempt = 0;
    bool m_awaitsAnswer = false;
    bool m_someResponseLost = false;
    bool m_conditionFailed = false;
    std::optional<PlatformObject> m_lastRead;
    std::optional<WriteOutcome> m_outcome;
};

} // namespace Cardamomhill

#include "objectstore/conditionalwriter.h"

#include "core/parsejson.h"
#include "objectstore/operationhistory.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

// Short, since the platform answers in milliseconds and an operator waits for the result.
constexpr Milliseconds FirstRetryDelay(100);
constexpr Milliseconds MaxRetryDelay(5000);
constexpr Milliseconds AttemptTimeout(1000);

PlatformError makeError(PlatformErrorCode code, const ConditionalChange &change, const char *detail)
{
    return PlatformError{code, change.key, detail};
}

} // namespace

Result<ConditionalWriter, PlatformError> ConditionalWriter::create(ConditionalChange change, SteadyTime deadline)
{
    auto parsed = parseJson(change.value);
    if (parsed.has_error() || !parsed.value().is_object()) {
        return failure(makeError(PlatformErrorCode::NotAnObject, change, "the new value is not a JSON object"));
    }
    auto &value = parsed.value();
    if (change.operation.empty()) {
        return failure(makeError(PlatformErrorCode::ReservedField, change, "the operation id is empty"));
    }
    if (value.contains(OperationHistory::OperationField) || value.contains(OperationHistory::PreviousOperationsField)) {
        return failure(makeError(PlatformErrorCode::ReservedField,
                                 change,
                                 "the fields operation and previousOperations are set by the writer"));
    }
    value[OperationHistory::OperationField] = change.operation;
    value[OperationHistory::PreviousOperationsField] = change.base.has_value()
        ? OperationHistory::fromObject(*change.base).previousForNextWrite()
        : std::vector<std::string>();
    auto text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > MaxValueBytes) {
        return failure(makeError(PlatformErrorCode::TooLarge, change, "the new value exceeds 1 MB"));
    }
    return ConditionalWriter(std::move(change), std::move(text), deadline);
}

ConditionalWriter::ConditionalWriter(ConditionalChange change, std::string value, SteadyTime deadline)
    : m_change(std::move(change))
    , m_value(std::move(value))
    , m_deadline(deadline)
    , m_backoff(FirstRetryDelay, MaxRetryDelay)
{
}

std::optional<WriteRequest> ConditionalWriter::nextRequest(SteadyTime now, Random &random)
{
    checkTimeouts(now, random);
    if (m_outcome.has_value() || m_awaitsAnswer || now < m_due) {
        return std::nullopt;
    }
    m_awaitsAnswer = true;
    m_due = std::min(now + AttemptTimeout, m_deadline);
    ++m_attempt;
    if (m_step == Step::Get) {
        return GetRequest{m_attempt, m_change.key};
    }
    return PutRequest{m_attempt, m_change.key, expectedVersion(), m_value};
}

SteadyTime ConditionalWriter::nextWakeUp() const
{
    return std::min(m_due, m_deadline);
}

void ConditionalWriter::onWritten(std::uint64_t version)
{
    // A success proves that the write took effect, whichever attempt it answers.
    if (!m_outcome.has_value() || m_outcome->code == WriteOutcomeCode::Unknown) {
        finish(WriteOutcomeCode::Applied, std::nullopt, version);
    }
}

void ConditionalWriter::onConflict(std::uint64_t attempt, std::optional<PlatformObject> current)
{
    if (isAwaited(attempt)) {
        decideOutcome(std::move(current), true);
    }
}

void ConditionalWriter::onConflictWithoutObject(std::uint64_t attempt, SteadyTime now)
{
    if (isAwaited(attempt)) {
        m_awaitsAnswer = false;
        m_conditionFailed = true;
        m_step = Step::Get;
        m_due = now;
    }
}

void ConditionalWriter::onNotExecuted(std::uint64_t attempt, SteadyTime now, Random &random)
{
    if (isAwaited(attempt)) {
        scheduleRetry(m_step, now, random);
    }
}

void ConditionalWriter::onResponseLost(std::uint64_t attempt, SteadyTime now, Random &random)
{
    if (!isAwaited(attempt)) {
        return;
    }
    m_putResponseLost = m_putResponseLost || m_step == Step::Put;
    scheduleRetry(Step::Get, now, random);
}

void ConditionalWriter::onRead(std::uint64_t attempt,
                               std::optional<PlatformObject> current,
                               SteadyTime now,
                               Random &random)
{
    if (!isAwaited(attempt)) {
        return;
    }
    const auto version = current.has_value() ? current->version : 0;
    if (version == expectedVersion() && !m_conditionFailed) {
        // A request in flight may still take effect, so the missing operation id proves nothing yet. Sending the same
        // request again decides it, since the condition fails for one of the two.
        m_lastRead = std::move(current);
        scheduleRetry(Step::Put, now, random);
        return;
    }
    decideOutcome(std::move(current), m_conditionFailed);
}

const std::optional<WriteOutcome> &ConditionalWriter::outcome() const
{
    return m_outcome;
}

std::uint64_t ConditionalWriter::expectedVersion() const
{
    return m_change.base.has_value() ? m_change.base->version : 0;
}

bool ConditionalWriter::isAwaited(std::uint64_t attempt) const
{
    return !m_outcome.has_value() && m_awaitsAnswer && attempt == m_attempt;
}

void ConditionalWriter::checkTimeouts(SteadyTime now, Random &random)
{
    if (m_outcome.has_value()) {
        return;
    }
    if (m_awaitsAnswer && now >= m_due) {
        onResponseLost(m_attempt, now, random);
    }
    if (now < m_deadline) {
        return;
    }
    if (m_conditionFailed && !m_putResponseLost) {
        finish(WriteOutcomeCode::Conflict);
    } else {
        finish(m_putResponseLost ? WriteOutcomeCode::Unknown : WriteOutcomeCode::NotApplied, m_lastRead);
    }
}

void ConditionalWriter::scheduleRetry(Step step, SteadyTime now, Random &random)
{
    m_awaitsAnswer = false;
    m_step = step;
    m_due = now + m_backoff.next(random);
}

void ConditionalWriter::decideOutcome(std::optional<PlatformObject> current, bool conditionFailed)
{
    const auto history = current.has_value() ? std::optional(OperationHistory::fromObject(*current)) : std::nullopt;
    if (history.has_value() && history->contains(m_change.operation)) {
        const auto version = history->current() == m_change.operation ? current->version : 0;
        finish(WriteOutcomeCode::Applied, std::move(current), version);
        return;
    }
    // Versions only increase, so a condition on an older version can never hold again.
    const bool isNewer = current.has_value() && current->version > expectedVersion();
    const bool noAttemptTookEffect = !m_putResponseLost && (conditionFailed || isNewer);
    const bool absentFromFullHistory = isNewer && history->reachesBackTo(m_change.base);
    finish(noAttemptTookEffect || absentFromFullHistory ? WriteOutcomeCode::Conflict : WriteOutcomeCode::Unknown,
           std::move(current));
}

void ConditionalWriter::finish(WriteOutcomeCode code, std::optional<PlatformObject> current, std::uint64_t version)
{
    m_awaitsAnswer = false;
    m_outcome = WriteOutcome{code, version, m_change.base, std::move(current)};
}

} // namespace Cardamomhill

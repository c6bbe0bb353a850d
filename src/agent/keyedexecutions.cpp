#include "agent/keyedexecutions.h"

#include "agent/attemptstream.h"
#include "agent/enginerequest.h"
#include "config/backendserver.h"
#include "config/configuration.h"
#include "config/service.h"
#include "control/platformclient.h"
#include "core/hash.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "wire/msgpackcodec.h"

#include <nlohmann/json.hpp>

#include <random>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds PollPeriod{100};
constexpr std::size_t MaxExpiredRecordsPerPoll = 1000;
/// Answers are recorded as a whole. A longer one, which may never end, is not waited for.
constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024;
constexpr std::string_view SlotsKind = "slots";

/// Distinguishes a retry from a different request with the same key.
std::uint64_t digestOf(const Execute &execute)
{
    const auto target = combineHashes(hash64(execute.method), hash64(execute.target));
    return combineHashes(target, hash64(execute.body));
}

void sendAnswer(AttemptStream &stream, const RecordedAnswer &answer, bool replayed)
{
    stream.sendHead({answer.status, answer.contentType, replayed});
    if (!answer.body.empty()) {
        stream.sendData(answer.body);
    }
    stream.finish();
}

/// Replays an execution whose answer was too large to be kept.
void sendAnswerNotKept(AttemptStream &stream)
{
    constexpr std::uint16_t StatusGone = 410;
    const RecordedAnswer answer{StatusGone,
                                "application/problem+json",
                                R"({"type":"urn:cardamomhill:problem:answer-not-kept","title":"answer-not-kept",)"
                                R"("status":410,"outcome":"completed"})"};
    sendAnswer(stream, answer, true);
}

AttemptReason reasonOf(DecisionReason reason)
{
    switch (reason) {
    case DecisionReason::NotOwner:
        return AttemptReason::SlotNotOwned;
    case DecisionReason::KeyTimeAhead:
        return AttemptReason::KeyFromFuture;
    case DecisionReason::KeyTimeBelowFloor:
        return AttemptReason::KeyMayHaveRun;
    case DecisionReason::LifetimeEnded:
        return AttemptReason::KeyExpired;
    case DecisionReason::AgentLeaving:
        return AttemptReason::Leaving;
    case DecisionReason::RegistryFull:
        return AttemptReason::Overloaded;
    case DecisionReason::ExecutionFailed:
        return AttemptReason::EngineFailed;
    case DecisionReason::NewKey:
    case DecisionReason::RecordExists:
    case DecisionReason::AnswerNotKept:
    case DecisionReason::RefusedEarlier:
    case DecisionReason::SlotSealed:
        return AttemptReason::KeyRefused;
    }
    return AttemptReason::KeyRefused;
}

} // namespace

KeyedExecutions::KeyedExecutions(asio::io_context &context,
                                 BackendServerId self,
                                 tcp::endpoint engine,
                                 const tcp::endpoint &platform,
                                 MetricsRegistry &metrics)
    : m_context(context)
    , m_self(std::move(self))
    , m_engine(std::move(engine))
    , m_metrics(metrics)
    , m_platform(std::make_unique<PlatformClient>(context, platform))
    , m_random(std::random_device()())
{
}

KeyedExecutions::~KeyedExecutions() = default;

void KeyedExecutions::start()
{
    spawn(m_context.get_executor(), "keyed-executions", pollLoop());
}

void KeyedExecutions::apply(const Configuration &configuration)
{
    const auto *server = configuration.backendServer(m_self);
    const auto *service = server == nullptr ? nullptr : configuration.service(server->service);
    if (service == nullptr || service->kind != ServiceKind::Plain) {
        return;
    }
    const auto lifetime = std::chrono::duration_cast<Milliseconds>(service->keyLifetime);
    if (!m_registry) {
        m_service = service->id;
        m_registry = std::make_unique<ExecutionRegistry>(ExecutionLimits(), ClockBounds(), lifetime);
        m_handover = std::make_unique<SlotHandover>(m_self, *m_registry, m_random);
        if (m_isLeaving) {
            m_registry->refuseNewKeys();
        }
    }
    m_registry->setLifetime(lifetime);
    if (const auto *table = configuration.slotTable(m_service)) {
        applySlotTable(*table);
    }
}

void KeyedExecutions::applySlotTable(const std::string &tableJson)
{
    const auto table = SlotTable::fromExchangedJson(tableJson);
    if (table.has_error()) {
        logEvent(LogLevel::Error, "slot-table-refused", {{"error", table.error().message()}});
        return;
    }
    m_handover->applyTable(table.value());
}

void KeyedExecutions::execute(const Execute &execute, std::shared_ptr<AttemptStream> stream)
{
    const auto key = IdempotencyKey::parse(execute.idempotencyKey);
    if (key.has_error()) {
        stream->endWithoutAnswer(AttemptOutcome::Rejected, AttemptReason::Malformed);
        return;
    }
    if (!m_registry || execute.service != m_service.value()) {
        stream->endWithoutAnswer(AttemptOutcome::Rejected, AttemptReason::WrongService);
        return;
    }
    const ExecutionRequest request{OrganisationId(execute.organisation), key.value(), digestOf(execute)};
    const auto decision = m_registry->decide(request, wallNow());
    m_metrics.counter("key_decisions_total{decision=\"" + std::string(nameOf(decision.kind)) + "\"}").add();
    logEvent(LogLevel::Info,
             "key-decision",
             {{"request", execute.request},
              {"organisation", execute.organisation},
              {"key", execute.idempotencyKey},
              {"decision", nameOf(decision.kind)},
              {"reason", nameOf(decision.reason)}});
    answerAttempt(decision, request, execute, std::move(stream));
}

void KeyedExecutions::answerAttempt(const Decision &decision,
                                    const ExecutionRequest &request,
                                    const Execute &execute,
                                    std::shared_ptr<AttemptStream> stream)
{
    const ExecutionId id{request.organisation, request.key};
    switch (decision.kind) {
    case DecisionKind::Execute:
        m_waitingStreams[id].push_back(std::move(stream));
        spawn(m_context.get_executor(), "keyed-execution", run(id, execute));
        return;
    case DecisionKind::Wait:
        m_waitingStreams[id].push_back(std::move(stream));
        return;
    case DecisionKind::Replay:
        if (decision.reason == DecisionReason::AnswerNotKept) {
            sendAnswerNotKept(*stream);
        } else {
            sendAnswer(*stream, unpackMsgpack<RecordedAnswer>(decision.answer).value(), true);
        }
        return;
    case DecisionKind::NotRun:
        stream->endWithoutAnswer(AttemptOutcome::NotRun, reasonOf(decision.reason));
        return;
    case DecisionKind::Rejected:
        stream->endWithoutAnswer(AttemptOutcome::Rejected, reasonOf(decision.reason));
        return;
    case DecisionKind::Unknown:
        stream->endWithoutAnswer(AttemptOutcome::Unknown, reasonOf(decision.reason));
        return;
    case DecisionKind::DigestMismatch:
        stream->endWithoutAnswer(AttemptOutcome::Rejected, AttemptReason::KeyMismatch);
        return;
    }
}

Task<> KeyedExecutions::run(ExecutionId id, Execute execute)
{
    const auto answer = co_await callEngine(execute);
    if (answer.has_error()) {
        fail(id, answer.error());
    } else {
        complete(id, answer.value());
    }
}

Task<Result<RecordedAnswer, HttpCallError>> KeyedExecutions::callEngine(const Execute &execute)
{
    // Uses a new connection: when the server closes a reused one during the request, it is unknown whether the request
    // was executed.
    HttpClient client(m_context, m_engine, MaxAnswerBytes);
    const Milliseconds timeout(execute.remainingMs);
    auto response = co_await client.call(engineRequest(execute), timeout);
    if (response.has_error()) {
        co_return failure(response.error());
    }
    co_return RecordedAnswer{static_cast<std::uint16_t>(response.value().status),
                             std::move(response.value().contentType),
                             std::move(response.value().body)};
}

void KeyedExecutions::complete(const ExecutionId &id, const RecordedAnswer &answer)
{
    const auto recorded = m_registry->complete(id.first, id.second, packMsgpack(answer));
    if (recorded.has_error()) {
        logEvent(LogLevel::Error, "execution-not-recorded", {{"error", recorded.error().message()}});
    }
    bool replayed = false;
    for (const auto &stream : m_waitingStreams[id]) {
        sendAnswer(*stream, answer, replayed);
        replayed = true;
    }
    m_waitingStreams.erase(id);
}

void KeyedExecutions::fail(const ExecutionId &id, const HttpCallError &error)
{
    const auto recorded = error.isNotSent ? m_registry->completeNotRun(id.first, id.second)
                                          : m_registry->completeUnknown(id.first, id.second);
    logEvent(recorded.has_error() ? LogLevel::Error : LogLevel::Warning,
             "execution-failed",
             {{"key", id.second.toString()}, {"error", error.error.message()}});
    for (const auto &stream : m_waitingStreams[id]) {
        if (error.isNotSent) {
            stream->endWithoutAnswer(AttemptOutcome::NotRun, AttemptReason::EngineUnreachable);
        } else {
            stream->endWithoutAnswer(AttemptOutcome::Unknown, AttemptReason::EngineFailed);
        }
    }
    m_waitingStreams.erase(id);
}

void KeyedExecutions::leave()
{
    m_isLeaving = true;
    if (m_registry) {
        m_registry->refuseNewKeys();
    }
}

std::size_t KeyedExecutions::runningCount() const
{
    return m_waitingStreams.size();
}

std::size_t KeyedExecutions::servingSlotCount() const
{
    std::size_t count = 0;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        count += m_registry->phase(static_cast<SlotNumber>(slot)) == SlotPhase::Serving ? 1 : 0;
    }
    return count;
}

Task<> KeyedExecutions::pollLoop()
{
    asio::steady_timer timer(m_context);
    SystemError error;
    while (!error) {
        timer.expires_after(PollPeriod);
        co_await timer.async_wait(storeError(error));
        if (!m_handover) {
            continue;
        }
        m_registry->removeExpired(wallNow(), MaxExpiredRecordsPerPoll);
        m_metrics.gauge("slots_serving").set(static_cast<std::int64_t>(servingSlotCount()));
        for (auto &action : m_handover->poll(steadyNow())) {
            // Handover to another live agent is not connected yet (docs/STATUS.md), so all actions are table calls.
            if (auto *call = std::get_if<SlotTableCall>(&action)) {
                co_await callPlatform(std::move(*call));
            }
        }
    }
}

Task<> KeyedExecutions::callPlatform(SlotTableCall call)
{
    const ObjectKey key{std::string(SlotsKind), m_service.value()};
    if (call.write) {
        const auto written = co_await m_platform->write(key, call.write->version(), call.write->toJson().dump());
        const bool isConflict = written.has_error() && written.error().code == PlatformCallErrorCode::Conflict;
        if (written.has_value() || isConflict) {
            m_handover->handleWriteResponse(call.id, steadyNow());
        } else {
            m_handover->handleCallFailure(call.id, steadyNow());
        }
        co_return;
    }
    const auto object = co_await m_platform->read(key);
    if (object.has_error()) {
        m_handover->handleCallFailure(call.id, steadyNow());
        co_return;
    }
    const auto table = SlotTable::fromText(object.value().value, object.value().version);
    if (table.has_error()) {
        logEvent(LogLevel::Error, "slot-table-refused", {{"error", table.error().message()}});
        m_handover->handleCallFailure(call.id, steadyNow());
        co_return;
    }
    m_handover->handleTableRead(call.id, table.value(), steadyNow(), wallNow());
}

} // namespace Cardamomhill

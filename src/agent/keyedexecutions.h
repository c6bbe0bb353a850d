#pragma once

#include "agent/recordedanswer.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "core/result.h"
#include "execution/executionregistry.h"
#include "execution/slothandover.h"
#include "net/asio.h"
#include "net/httpclient.h"
#include "net/neterror.h"
#include "wire/execute.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

class AttemptStream;
class Configuration;
class MetricsRegistry;
class PlatformClient;
class SlotTable;
struct Service;

/// Executes the non-idempotent requests of an agent. Each runs at most once, to its end even if its caller has
/// disconnected, and its answer is kept for retries until the lifetime of its idempotency key ends.
class KeyedExecutions
{
public:
    KeyedExecutions(asio::io_context &context,
                    BackendServerId self,
                    tcp::endpoint engine,
                    const tcp::endpoint &platform,
                    MetricsRegistry &metrics);
    ~KeyedExecutions();

    /// Starts to claim the slots that the slot table assigns to this agent.
    void start();

    /// Applies the service and its slot table from a new configuration.
    void apply(const Configuration &configuration);

    /// Answers an attempt: executes it, replays the recorded answer, waits for a running execution or refuses.
    void execute(const Execute &execute, std::shared_ptr<AttemptStream> stream);

    /// Refuses new keys from now on; cannot be undone.
    void leave();

    std::size_t runningCount() const;

private:
    using ExecutionId = std::pair<OrganisationId, IdempotencyKey>;

    std::size_t servingSlotCount() const;
    Task<> pollLoop();
    Task<> callPlatform(SlotTableCall call);
    void applySlotTable(const std::string &tableJson);
    void answerAttempt(const Decision &decision,
                       const ExecutionRequest &request,
                       const Execute &execute,
                       std::shared_ptr<AttemptStream> stream);
    Task<> run(ExecutionId id, Execute execute);
    Task<Result<RecordedAnswer, HttpCallError>> callEngine(const Execute &execute);
    void complete(const ExecutionId &id, const RecordedAnswer &answer);
    void fail(const ExecutionId &id, const HttpCallError &error);

    asio::io_context &m_context;
    BackendServerId m_self;
    tcp::endpoint m_engine;
    MetricsRegistry &m_metrics;
    std::unique_ptr<PlatformClient> m_platform;
    Random m_random;
    ServiceId m_service;
    std::unique_ptr<ExecutionRegistry> m_registry;
    std::unique_ptr<SlotHandover> m_handover;
    /// The running executions, each with the attempts that wait for its answer.
    std::map<ExecutionId, std::vector<std::shared_ptr<AttemptStream>>> m_waitingStreams;
    bool m_isLeaving = false;
};

} // namespace Cardamomhill

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

/// The non-idempotent requests of an agent. Each is executed at most once, to its end even when its caller is gone, and
/// its answer is kept for repetitions until the lifetime of its key ends.
class KeyedExecutions
{
public:
    KeyedExecutions(asio::io_context &context,
                    BackendServerId self,
                    tcp::endpoint engine,
                    const tcp::endpoint &platform,
                    MetricsRegistry &metrics);
    ~KeyedExecutions();

    /// Starts to claim the slots that the table gives to this agent.
    void start();

    /// Takes the service and its slot table from a new configuration.
    void apply(const Configuration &configuration);

    /// Answers an attempt: executes, replays, waits or refuses.
    void execute(const Execute &execute, std::shared_ptr<AttemptStream> stream);

    /// Refuses new keys from now on. Final.
    void leave();

    std::size_t runningCount() const;

private:
    using ExecutionId = std::pair<OrganisationId, IdempotencyKey>;

    std::size_t servingCount() const;
    Task<> tickLoop();
    Task<> callPlatform(SlotTableCall call);
    void observe(const std::string &tableJson);
    void answer(const Decision &decision,
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
    std::map<ExecutionId, std::vector<std::shared_ptr<AttemptStream>>> m_running;
    bool m_isLeaving = false;
};

} // namespace Cardamomhill

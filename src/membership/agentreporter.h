#pragma once

#include "core/clocktypes.h"
#include "core/loadreport.h"
#include "core/random.h"
#include "core/result.h"
#include "membership/agentidentity.h"
#include "membership/entryhost.h"
#include "membership/joinprogress.h"
#include "membership/membershipmessage.h"
#include "membership/outgoingmessage.h"
#include "objectstore/localobjectstore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// Reports an agent's load to two entry hosts of its failure domain and keeps the agent's copy of the configuration.
///
/// The caller calls tick() every 100 ms and onMessage() for each received message. After each call, it sends what
/// takeMessages() returns and applies what takeObjectsInForce() returns.
class AgentReporter
{
public:
    explicit AgentReporter(AgentIdentity identity);

    /// The entry hosts of the failure domain, from settings or the configuration. The agent reports to the first two
    /// that answer, in rendezvous-hash order.
    void setEntryHosts(const std::vector<EntryHost> &hosts);

    /// Sets the current load except its sequence number. A change of at least one eighth of the capacity is reported at
    /// once, but not more often than once a second.
    void setLoad(LoadReport load);

    /// Announces that the server takes no new work. Final until the process restarts.
    void leave();

    void tick(SteadyTime now);

    /// Handles a message. A malformed message changes nothing.
    Result<void, MembershipError> onMessage(const ControlAddress &from, std::string_view bytes, SteadyTime now);

    /// Whether the process has a complete configuration and may serve.
    bool hasConfiguration() const;

    /// Whether the entry hosts that the agent reports to have acknowledged that it leaves.
    bool isLeavingAcknowledged() const;

    /// The row to send with a load report over a traffic connection.
    ServerRow row() const;

    const LocalObjectStore &store() const;

    std::vector<OutgoingMessage> takeMessages();

    /// Returns and clears the objects that came into force, each newer than any returned before for the same key.
    std::vector<VersionedObject> takeObjectsInForce();

private:
    /// An entry host that the agent reports to.
    struct ReportTarget {
        explicit ReportTarget(EntryHost entryHost)
            : host(std::move(entryHost))
        {
        }

        EntryHost host;
        LoadReport reported;
        /// Numbers of the first and the last attempt; an answer to any of them counts.
        std::uint64_t firstNumber = 1;
        std::uint64_t number = 0;
        SteadyTime lastSent;
        std::size_t attempts = 0;
        bool isAnswered = true;
        bool hasAcknowledgedLeaving = false;
    };

    void handle(const ControlAddress &from, const AgentAnswer &answer, SteadyTime now);
    void handle(const ControlAddress &from, const ObjectsMessage &message, SteadyTime now);
    void compareConfiguration(const ControlAddress &from, const AgentAnswer &answer, SteadyTime now);
    void refuteSuspicion(const AgentAnswer &answer);
    void join(SteadyTime now);
    void chooseTargets(SteadyTime now);
    bool isUnresponsive(const ControlAddress &address, SteadyTime now) const;
    void report(ReportTarget &target, std::uint8_t preference, SteadyTime now);
    bool isReportDue(const ReportTarget &target, SteadyTime now) const;
    std::optional<std::size_t> regularTarget(SteadyTime now) const;
    void requestRepair(const ControlAddress &to);
    ConfigurationSummary summary() const;
    AgentReport agentReport(std::uint8_t preference);
    void send(const ControlAddress &to, const MembershipMessage &message);

    AgentIdentity m_identity;
    std::uint64_t m_domainHash;
    ServerRow m_row;
    LocalObjectStore m_store;
    internal::JoinProgress m_join;
    std::vector<EntryHost> m_hosts;
    std::vector<ReportTarget> m_targets;
    /// When each host was found unresponsive or leaving.
    std::map<ControlAddress, SteadyTime> m_unresponsive;
    std::map<ControlAddress, SteadyTime> m_lastRepairs;
    std::uint64_t m_lastNumber = 0;
    bool m_isReady = false;
    /// The next tick reports to all targets.
    bool m_isReportUrgent = false;
    std::optional<SteadyTime> m_lastTick;
    std::vector<OutgoingMessage> m_messages;
    std::vector<VersionedObject> m_inForce;
};

} // namespace Cardamomhill

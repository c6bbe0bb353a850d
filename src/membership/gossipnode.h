#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "core/result.h"
#include "membership/agentdirectory.h"
#include "membership/broadcaster.h"
#include "membership/hostidentity.h"
#include "membership/joinprogress.h"
#include "membership/membershipmessage.h"
#include "membership/membertable.h"
#include "membership/outgoingmessage.h"
#include "membership/replicationgate.h"
#include "objectstore/localobjectstore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// Maintains an entry host's view of the members of its failure domain by gossip, and distributes the configuration.
///
/// The caller calls tick() every 100 ms and onMessage() for each received message. After each call, it sends what
/// takeMessages() returns and applies what takeObjectsInForce() returns. A process is ready once hasConfiguration() is
/// true.
class GossipNode
{
public:
    explicit GossipNode(HostIdentity identity);

    /// Addresses of entry hosts of the failure domain, from settings, the platform's host list or the configuration.
    /// The list may be out of date: hosts also learn of each other by gossip.
    void setSeeds(const std::vector<ControlAddress> &seeds);

    /// Does what is due. A long gap between two ticks is treated as a pause of the process.
    void tick(SteadyTime now, Random &random);

    /// Handles a message. A malformed message changes nothing.
    Result<void, MembershipError>
    onMessage(const ControlAddress &from, std::string_view bytes, SteadyTime now, Random &random);

    /// Merges what the platform's watch or list returned. All changes up to completeRevision have been returned.
    void mergePlatformObjects(const std::vector<VersionedObject> &objects,
                              std::uint64_t completeRevision,
                              SteadyTime now,
                              Random &random);

    /// Announces whether this host reaches the platform, so that others watch it if this host does not.
    void setPlatformReachable(bool reachesPlatform, SteadyTime now);

    /// Merges a load report or leaving notice received over a traffic connection.
    void observeServer(const ServerRow &row, SteadyTime now);

    /// Announces that this host leaves. Final until the process restarts.
    void leave(SteadyTime now, Random &random);

    /// Whether this host should watch the platform now.
    bool shouldWatchPlatform(SteadyTime now) const;

    /// Whether the process has a complete configuration and may serve.
    bool hasConfiguration() const;

    /// This host has all changes up to this revision; a watch starts there.
    std::uint64_t completeRevision() const;

    const LocalObjectStore &store() const;

    const MemberTable &members() const;

    /// Returns and clears the messages to be sent.
    std::vector<OutgoingMessage> takeMessages();

    /// Returns and clears the objects that came into force, each newer than any returned before for the same key.
    std::vector<VersionedObject> takeObjectsInForce();

private:
    /// A gossip message that has not been answered yet.
    struct Probe {
        std::uint64_t number = 0;
        ControlAddress address;
        SteadyTime sent;
        std::size_t attempts = 1;
    };
    /// Objects sent to other hosts, which must store them before they come into force.
    struct Replication {
        ObjectsMessage message;
        SteadyTime sent;
        std::size_t attempts = 0;
    };

    void handle(const ControlAddress &from, const GossipMessage &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const RepairRequest &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const FetchRequest &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const ObjectsMessage &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const BroadcastMessage &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const Acknowledgement &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const AgentReport &message, SteadyTime now, Random &random);
    void handle(const ControlAddress &from, const AgentAnswer &message, SteadyTime now, Random &random);

    void detectPause(SteadyTime now);
    void updateRelayRole();
    void join(SteadyTime now, Random &random);
    void becomeReady(SteadyTime now, Random &random);
    void gossip(SteadyTime now, Random &random);
    void probe(const ControlAddress &address, SteadyTime now);
    void probeDeadOrUnknownHost(Random &random);
    void checkProbes(SteadyTime now, Random &random);
    void checkAgents(SteadyTime now, Random &random);
    void checkReplications(SteadyTime now, Random &random);
    std::optional<std::uint64_t> nextPeer(Random &random);
    std::vector<std::uint64_t> livePeers() const;
    std::vector<std::uint64_t> broadcastReceivers() const;

    void answerGossip(const ControlAddress &from, const GossipMessage &message, SteadyTime now);
    void compareConfiguration(const ControlAddress &from, const GossipMessage &message, SteadyTime now);
    void requestRepair(const ControlAddress &from, bool full);
    void
    mergeRows(const std::vector<HostRow> &hosts, const std::vector<ServerRow> &servers, SteadyTime now, Random &random);
    void mergeHost(const HostRow &row, SteadyTime now, Random &random);
    void refute(std::uint64_t incarnation, SteadyTime now, Random &random);
    void broadcast(BroadcastMessage message, SteadyTime now, Random &random);
    void broadcastHost(const HostRow &row, SteadyTime now, Random &random);

    void mergeObject(const ObjectUpdate &update, std::uint64_t from);
    void replicate(const std::vector<VersionedObject> &objects, SteadyTime now, Random &random);
    void sendReplication(Replication &replication, SteadyTime now, Random &random);
    void putReplicatedInForce(SteadyTime now, Random &random);
    void sendToAgents(const std::vector<ObjectUpdate> &objects, SteadyTime now);

    GossipMessage gossipMessage(std::uint64_t number, bool isAnswer) const;
    ConfigurationSummary summary(DigestScope scope) const;
    std::uint64_t hostHashAt(const ControlAddress &address) const;
    void send(const ControlAddress &to, const MembershipMessage &message);
    void sendToHost(std::uint64_t host, const MembershipMessage &message);
    void sendBroadcasts();

    HostIdentity m_identity;
    std::uint64_t m_selfHash;
    std::uint64_t m_domainHash;
    HostRow m_row;
    MemberTable m_table;
    LocalObjectStore m_store;
    internal::ReplicationGate m_gate;
    internal::JoinProgress m_join;
    internal::Broadcaster m_broadcaster;
    internal::AgentDirectory m_agents;
    std::set<ControlAddress> m_seeds;
    std::vector<std::uint64_t> m_peerOrder;
    std::map<ControlAddress, Probe> m_probes;
    std::map<std::uint64_t, Replication> m_replications;
    std::set<ObjectKey> m_toBroadcast;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_completeRevision = 0;
    std::size_t m_digestMismatches = 0;
    bool m_isReady = false;
    bool m_isRelay = false;
    /// Value of hostChangeCount() at the last update of m_isRelay.
    std::uint64_t m_relayRoleHostChanges = 0;
    std::optional<SteadyTime> m_lastTick;
    SteadyTime m_nextGossip;
    std::vector<OutgoingMessage> m_messages;
    std::vector<VersionedObject> m_inForce;
};

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "core/result.h"
#include "membership/agentdirectory.h"
#include "membership/broadcaster.h"
#include "membership/forcegate.h"
#include "membership/hostidentity.h"
#include "membership/joinprogress.h"
#include "membership/membershipmessage.h"
#include "membership/membertable.h"
#include "membership/outgoingmessage.h"
#include "objectstore/objectstore.h"

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

/// An entry host's part in the membership of its failure domain and in the dissemination of configuration.
///
/// The caller passes in each received message and a tick every 100 ms, and after each call sends what takeMessages()
/// returns and applies what takeInForce() returns. A process is ready once hasConfiguration() is true.
class GossipNode
{
public:
    explicit GossipNode(HostIdentity identity);

    /// Addresses of entry hosts of the failure domain, from settings, the platform's host list or the configuration.
    /// The list may lag: hosts are also learnt from each other.
    void setSeeds(const std::vector<NodeAddress> &seeds);

    /// Does what is due. After a long gap between two ticks the process counts as having been paused.
    void tick(SteadyTime now, Random &random);

    /// Takes a message. A message that cannot be read changes nothing.
    Result<void, MembershipError>
    onMessage(const NodeAddress &from, std::string_view bytes, SteadyTime now, Random &random);

    /// Takes what the platform's watch or list returned, and the revision up to which the follower has all changes.
    void onPlatformObjects(const std::vector<VersionedObject> &objects,
                           std::uint64_t completeThrough,
                           SteadyTime now,
                           Random &random);

    /// Tells the others whether this host reaches the platform, so that others watch it instead.
    void setPlatformContact(bool reachesPlatform, SteadyTime now);

    /// Takes a load report or leaving notice that came over a traffic connection.
    void observeServer(const ServerRow &row, SteadyTime now);

    /// Announces that this host leaves. Final until the process restarts.
    void leave(SteadyTime now, Random &random);

    /// Whether this host is to watch the platform now.
    bool shouldFollow(SteadyTime now) const;

    /// Whether the process has a whole configuration and may serve.
    bool hasConfiguration() const;

    /// All changes up to this revision are held; where a watch begins.
    std::uint64_t completeThrough() const;

    const ObjectStore &store() const;

    const MemberTable &members() const;

    /// Messages to be sent.
    std::vector<OutgoingMessage> takeMessages();

    /// Objects that have come into force, each newer than any returned before for the same key.
    std::vector<VersionedObject> takeInForce();

private:
    struct Probe {
        std::uint64_t number = 0;
        NodeAddress address;
        SteadyTime sent;
        std::size_t attempts = 1;
    };
    struct Stage {
        ObjectsMessage message;
        SteadyTime sent;
        std::size_t attempts = 0;
    };

    void handle(const NodeAddress &from, const GossipMessage &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const RepairRequest &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const FetchRequest &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const ObjectsMessage &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const BroadcastMessage &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const Acknowledgement &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const AgentReport &message, SteadyTime now, Random &random);
    void handle(const NodeAddress &from, const AgentAnswer &message, SteadyTime now, Random &random);

    void noticePause(SteadyTime now);
    void chooseRelays();
    void join(SteadyTime now, Random &random);
    void becomeReady(SteadyTime now, Random &random);
    void gossip(SteadyTime now, Random &random);
    void probe(const NodeAddress &address, SteadyTime now);
    void probeOneMissing(Random &random);
    void checkProbes(SteadyTime now, Random &random);
    void checkAgents(SteadyTime now, Random &random);
    void checkStages(SteadyTime now, Random &random);
    std::optional<std::uint64_t> nextPeer(Random &random);
    std::vector<std::uint64_t> livePeers() const;
    std::vector<std::uint64_t> broadcastReceivers() const;

    void answerGossip(const NodeAddress &from, const GossipMessage &message, SteadyTime now);
    void compareConfiguration(const NodeAddress &from, const GossipMessage &message, SteadyTime now);
    void requestRepair(const NodeAddress &from, bool full);
    void
    mergeRows(const std::vector<HostRow> &hosts, const std::vector<ServerRow> &servers, SteadyTime now, Random &random);
    void mergeHost(const HostRow &row, SteadyTime now, Random &random);
    void refute(std::uint64_t incarnation, SteadyTime now, Random &random);
    void broadcast(BroadcastMessage message, SteadyTime now, Random &random);
    void broadcastHost(const HostRow &row, SteadyTime now, Random &random);

    void take(const HeldObject &held, std::uint64_t from);
    void stage(const std::vector<VersionedObject> &objects, SteadyTime now, Random &random);
    void sendStage(Stage &stage, SteadyTime now, Random &random);
    void releaseHeld(SteadyTime now, Random &random);
    void serveAgents(const std::vector<HeldObject> &objects, SteadyTime now);

    GossipMessage gossipMessage(std::uint64_t number, bool isAnswer) const;
    ConfigurationSummary summary(DigestScope scope) const;
    std::uint64_t hostAt(const NodeAddress &address) const;
    void send(const NodeAddress &to, const MembershipMessage &message);
    void sendToHost(std::uint64_t host, const MembershipMessage &message);
    void flushBroadcasts();

    HostIdentity m_identity;
    std::uint64_t m_self;
    std::uint64_t m_domain;
    HostRow m_row;
    MemberTable m_table;
    ObjectStore m_store;
    internal::ForceGate m_gate;
    internal::JoinProgress m_join;
    internal::Broadcaster m_broadcaster;
    internal::AgentDirectory m_agents;
    std::set<NodeAddress> m_seeds;
    std::vector<std::uint64_t> m_peerOrder;
    std::map<NodeAddress, Probe> m_probes;
    std::map<std::uint64_t, Stage> m_stages;
    std::set<ObjectKey> m_toBroadcast;
    std::uint64_t m_number = 0;
    std::uint64_t m_completeThrough = 0;
    std::size_t m_mismatches = 0;
    bool m_isReady = false;
    bool m_isRelay = false;
    std::uint64_t m_relaysChosenAt = 0;
    std::optional<SteadyTime> m_lastTick;
    SteadyTime m_nextGossip;
    std::vector<OutgoingMessage> m_messages;
    std::vector<VersionedObject> m_inForce;
};

} // namespace Cardamomhill

#include "membership/gossipnode.h"

#include "core/hash.h"
#include "membership/configurationrepair.h"
#include "membership/relayselection.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds GossipPeriod(1000);
// Byte budget for rows in a gossip message. A host sends and receives one such message and its answer each second; with
// 79 hosts and 336 servers this keeps all control traffic below 2 KB/s (docs/membership.md).
constexpr std::size_t GossipRowBytes = 520;
constexpr std::size_t AnswerRowBytes = 60;
// Answers arrive within a few milliseconds. At 5% loss, the chance that three probes stay unanswered is 1 in 1,000.
constexpr Milliseconds ProbeTimeout(300);
constexpr std::size_t ProbeAttempts = 3;
// Ticks come every 100 ms; a gap above this threshold means that the process was paused.
constexpr Milliseconds PauseThreshold(2000);
constexpr Milliseconds ReplicationRetryTime(300);
constexpr std::size_t ReplicationAttempts = 10;
// Larger batches, such as the first list of a relay, are distributed by the repair of whole buckets instead.
constexpr std::size_t ReplicationObjectLimit = 256;
// A different digest of a peer with an older copy is usually due to a change that is still being distributed.
constexpr std::size_t MismatchesBeforeRepair = 2;
constexpr std::size_t BroadcastLimitBytes = 262144;

MemberState stateOf(std::uint8_t state)
{
    return static_cast<MemberState>(state);
}

std::uint8_t stateValue(MemberState state)
{
    return static_cast<std::uint8_t>(state);
}

} // namespace

GossipNode::GossipNode(HostIdentity identity)
    : m_identity(std::move(identity))
    , m_selfHash(MemberTable::hashOf(m_identity.host))
    , m_domainHash(hash64(m_identity.domain.value()))
    , m_broadcaster(m_selfHash, static_cast<std::uint64_t>(m_identity.start.time_since_epoch().count()))
{
    m_row.name = m_identity.host.value();
    m_row.address = m_identity.address.value();
    m_row.incarnation = static_cast<std::uint64_t>(m_identity.start.time_since_epoch().count());
    m_row.state = stateValue(MemberState::Live);
    m_table.mergeHost(m_row, SteadyTime());
}

void GossipNode::setSeeds(const std::vector<ControlAddress> &seeds)
{
    m_seeds.clear();
    for (const auto &seed : seeds) {
        if (seed != m_identity.address) {
            m_seeds.insert(seed);
            if (!m_isReady) {
                m_join.addHost(seed);
            }
        }
    }
}

void GossipNode::tick(SteadyTime now, Random &random)
{
    detectPause(now);
    join(now, random);
    if (now >= m_nextGossip) {
        gossip(now, random);
    }
    checkProbes(now, random);
    for (const auto &row : m_table.expire(now)) {
        broadcastHost(row, now, random);
    }
    checkAgents(now, random);
    checkReplications(now, random);
    putReplicatedInForce(now, random);
    m_broadcaster.tick(now);
    sendBroadcasts();
    updateRelayRole();
}

Result<void, MembershipError>
GossipNode::onMessage(const ControlAddress &from, std::string_view bytes, SteadyTime now, Random &random)
{
    const auto decoded = decodeMembershipMessage(bytes);
    if (!decoded) {
        return failure(decoded.error());
    }
    const auto &message = decoded.value();
    const auto *gossip = std::get_if<GossipMessage>(&message);
    const auto *report = std::get_if<AgentReport>(&message);
    if ((gossip != nullptr && gossip->domain != m_domainHash)
        || (report != nullptr && report->domain != m_domainHash)) {
        return failure(MembershipError{MembershipErrorCode::WrongDomain, from.value()});
    }
    std::visit([&](const auto &content) { handle(from, content, now, random); }, message);
    putReplicatedInForce(now, random);
    sendBroadcasts();
    return success();
}

void GossipNode::mergePlatformObjects(const std::vector<VersionedObject> &objects,
                                      std::uint64_t completeRevision,
                                      SteadyTime now,
                                      Random &random)
{
    std::vector<VersionedObject> toReplicate;
    for (const auto &object : objects) {
        const bool changed = m_store.merge(object);
        if (!m_isReady) {
            continue;
        }
        if (changed) {
            m_gate.addPending(object.key, object.version);
            toReplicate.push_back(object);
        }
        if (m_gate.isPending(object.key)) {
            m_toBroadcast.insert(object.key);
        }
    }
    m_completeRevision = std::max(m_completeRevision, completeRevision);
    if (!m_isReady && m_completeRevision > 0 && m_join.needsPlatform(now)) {
        becomeReady(now, random);
    }
    replicate(toReplicate, now, random);
    putReplicatedInForce(now, random);
    sendBroadcasts();
}

void GossipNode::setPlatformReachable(bool reachesPlatform, SteadyTime now)
{
    if (m_row.isPlatformUnreachable == reachesPlatform) {
        m_row.isPlatformUnreachable = !reachesPlatform;
        ++m_row.reachabilityVersion;
        m_table.mergeHost(m_row, now);
    }
}

void GossipNode::observeServer(const ServerRow &row, SteadyTime now)
{
    m_table.mergeServer(row, now);
}

void GossipNode::leave(SteadyTime now, Random &random)
{
    m_row.state = stateValue(MemberState::Leaving);
    m_table.mergeHost(m_row, now);
    broadcastHost(m_row, now, random);
    sendBroadcasts();
}

bool GossipNode::shouldWatchPlatform(SteadyTime now) const
{
    return m_isRelay && (m_isReady || m_join.needsPlatform(now));
}

bool GossipNode::hasConfiguration() const
{
    return m_isReady;
}

std::uint64_t GossipNode::completeRevision() const
{
    return m_completeRevision;
}

const LocalObjectStore &GossipNode::store() const
{
    return m_store;
}

const MemberTable &GossipNode::members() const
{
    return m_table;
}

std::vector<OutgoingMessage> GossipNode::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<VersionedObject> GossipNode::takeObjectsInForce()
{
    return std::exchange(m_inForce, {});
}

void GossipNode::handle(const ControlAddress &from, const GossipMessage &message, SteadyTime now, Random &random)
{
    mergeRows({message.sender}, {}, now, random);
    mergeRows(message.hosts, message.servers, now, random);
    if (message.isAnswer) {
        m_probes.erase(from);
    } else {
        answerGossip(from, message, now);
    }
    compareConfiguration(from, message, now);
}

void GossipNode::handle(const ControlAddress &from, const RepairRequest &message, SteadyTime, Random &)
{
    auto answer = internal::repairAnswer(m_store, m_gate, message);
    answer.isReady = m_isReady;
    send(from, answer);
}

void GossipNode::handle(const ControlAddress &from, const FetchRequest &message, SteadyTime, Random &)
{
    auto answer = internal::fetchAnswer(m_store, m_gate, message);
    answer.isReady = m_isReady;
    send(from, answer);
}

void GossipNode::handle(const ControlAddress &from, const ObjectsMessage &message, SteadyTime, Random &)
{
    const auto sender = hostHashAt(from);
    for (const auto &update : message.objects) {
        mergeObject(update, sender);
    }
    if (message.number != 0) {
        send(from, Acknowledgement{m_selfHash, 0, message.number});
        return;
    }
    auto missing = internal::missingKeys(m_store, message);
    if (!missing.empty()) {
        send(from, FetchRequest{std::move(missing), false, message.isComplete});
    } else if (!message.isComplete) {
        requestRepair(from, true);
    } else {
        m_join.onObjects(from, message.isReady);
    }
}

void GossipNode::handle(const ControlAddress &from, const BroadcastMessage &message, SteadyTime now, Random &random)
{
    // The acknowledgement states that this host stores the objects, so they are merged first. Merging again has no
    // effect.
    for (const auto &update : message.objects) {
        mergeObject(update, hostHashAt(from));
    }
    mergeRows(message.hosts, message.servers, now, random);
    m_broadcaster.receive(message, hostHashAt(from), now);
}

void GossipNode::handle(const ControlAddress &, const Acknowledgement &message, SteadyTime, Random &)
{
    if (message.origin != 0) {
        m_broadcaster.acknowledge(message);
        return;
    }
    const auto replication = m_replications.find(message.number);
    if (replication != m_replications.end()) {
        for (const auto &update : replication->second.message.objects) {
            m_gate.addReplica(update.object.key, update.object.version, message.host);
        }
    }
}

void GossipNode::handle(const ControlAddress &from, const AgentReport &message, SteadyTime now, Random &random)
{
    const auto before = m_table.serverRow(message.row.server, now);
    m_table.mergeServer(message.row, now);
    const auto after = m_table.serverRow(message.row.server, now);
    const bool isLeaving = stateOf(after->state) == MemberState::Leaving;
    const bool isNew
        = !before.has_value() || before->incarnation != after->incarnation || before->state != after->state;
    // Only the agent's first entry host announces it, but both announce that it leaves.
    if (isNew && (isLeaving || message.preference == 0) && message.number != 0) {
        BroadcastMessage announcement;
        announcement.servers.push_back(*after);
        broadcast(std::move(announcement), now, random);
    }
    // A joining agent asks all hosts with number 0, but reports to two only.
    if (message.number != 0) {
        m_agents.recordReport(from, message, now);
    }
    AgentAnswer answer;
    answer.number = message.number;
    answer.hostIncarnation = m_row.incarnation;
    answer.configuration = summary(DigestScope::WithoutOrganisations);
    answer.incarnation = after->incarnation;
    answer.state = after->state;
    answer.isLeaving = stateOf(m_row.state) == MemberState::Leaving;
    send(from, answer);
}

void GossipNode::handle(const ControlAddress &, const AgentAnswer &, SteadyTime, Random &)
{
    // Sent to agents only. A process that took over the address of an agent may receive a late one.
}

void GossipNode::detectPause(SteadyTime now)
{
    if (m_lastTick.has_value() && now - *m_lastTick > PauseThreshold) {
        const auto pause = now - *m_lastTick;
        m_probes.clear();
        m_table.shiftTimes(pause);
        m_agents.shiftTimes(pause);
        m_join.shiftTimes(pause);
    }
    m_lastTick = now;
}

void GossipNode::updateRelayRole()
{
    if (m_relayRoleHostChanges != m_table.hostChangeCount()) {
        m_relayRoleHostChanges = m_table.hostChangeCount();
        m_isRelay = RelaySelection::isRelay(m_identity.host, m_identity.domain, m_table.hosts());
    }
}

void GossipNode::join(SteadyTime now, Random &random)
{
    if (m_isReady) {
        return;
    }
    for (const auto &address : m_join.hostsToAsk(now)) {
        auto message = gossipMessage(0, false);
        message.isJoining = true;
        send(address, message);
    }
    if (m_join.isComplete(now)) {
        becomeReady(now, random);
    }
}

void GossipNode::becomeReady(SteadyTime now, Random &random)
{
    m_isReady = true;
    m_store.forEach([this](const VersionedObject &object) { m_inForce.push_back(object); });
    broadcastHost(m_row, now, random);
}

void GossipNode::gossip(SteadyTime now, Random &random)
{
    // Jitter prevents hosts that started together from sending at the same time.
    std::uniform_int_distribution<Milliseconds::rep> jitter(-50, 50);
    m_nextGossip = now + GossipPeriod + Milliseconds(jitter(random));
    if (const auto peer = nextPeer(random); peer.has_value()) {
        probe(ControlAddress(m_table.host(*peer)->address), now);
    }
    probeDeadOrUnknownHost(random);
}

void GossipNode::probe(const ControlAddress &address, SteadyTime now)
{
    auto message = gossipMessage(++m_lastNumber, false);
    auto rows = m_table.rowsToSend(GossipRowBytes, now);
    message.hosts = std::move(rows.hosts);
    message.servers = std::move(rows.servers);
    m_probes.try_emplace(address, Probe{message.number, address, now});
    send(address, message);
}

void GossipNode::probeDeadOrUnknownHost(Random &random)
{
    // Dead hosts and seeds that are not members yet are probed as well, so that the parts of a domain find each other
    // after a partition.
    std::vector<ControlAddress> candidates;
    std::set<ControlAddress> known;
    for (const auto &row : m_table.hosts()) {
        known.emplace(row.address);
        if (stateOf(row.state) == MemberState::Dead) {
            candidates.emplace_back(row.address);
        }
    }
    std::set_difference(m_seeds.begin(), m_seeds.end(), known.begin(), known.end(), std::back_inserter(candidates));
    if (!candidates.empty()) {
        std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
        const auto &address = candidates.at(choice(random));
        auto message = gossipMessage(++m_lastNumber, false);
        for (const auto &row : m_table.hosts()) {
            if (row.address == address.value()) {
                message.hosts.push_back(row);
            }
        }
        send(address, message);
    }
}

void GossipNode::checkProbes(SteadyTime now, Random &random)
{
    std::vector<ControlAddress> failed;
    for (auto &[address, probe] : m_probes) {
        if (now - probe.sent < ProbeTimeout) {
            continue;
        }
        probe.sent = now;
        if (++probe.attempts <= ProbeAttempts) {
            send(address, gossipMessage(probe.number, false));
        } else {
            failed.push_back(address);
        }
    }
    for (const auto &address : failed) {
        m_probes.erase(address);
        const auto *row = m_table.host(hostHashAt(address));
        if (row != nullptr && stateOf(row->state) == MemberState::Live) {
            auto suspect = *row;
            suspect.state = stateValue(MemberState::Suspect);
            m_table.mergeHost(suspect, now);
            broadcastHost(suspect, now, random);
        }
    }
}

void GossipNode::checkAgents(SteadyTime now, Random &random)
{
    const auto own = summary(DigestScope::WithoutOrganisations);
    for (const auto &address : m_agents.agentsToNotify(own.digest, now)) {
        AgentAnswer notification;
        notification.hostIncarnation = m_row.incarnation;
        notification.configuration = own;
        send(address, notification);
    }
    for (const auto server : m_agents.takeUnresponsive(now)) {
        auto row = m_table.serverRow(server, now);
        if (row.has_value() && stateOf(row->state) == MemberState::Live && !m_table.hasRecentReport(server, now)) {
            row->state = stateValue(MemberState::Suspect);
            m_table.mergeServer(*row, now);
            BroadcastMessage announcement;
            announcement.servers.push_back(*row);
            broadcast(std::move(announcement), now, random);
        }
    }
}

void GossipNode::checkReplications(SteadyTime now, Random &random)
{
    std::erase_if(m_replications, [this](const auto &entry) {
        const auto &objects = entry.second.message.objects;
        const bool isPending = std::any_of(objects.begin(), objects.end(), [this](const ObjectUpdate &update) {
            return m_gate.isPending(update.object.key);
        });
        return !isPending || entry.second.attempts >= ReplicationAttempts;
    });
    for (auto &[number, replication] : m_replications) {
        if (now - replication.sent >= ReplicationRetryTime) {
            sendReplication(replication, now, random);
        }
    }
}

std::optional<std::uint64_t> GossipNode::nextPeer(Random &random)
{
    // Each of n peers once in random order, then again: a dead host is found within n seconds even if few hosts probe.
    const auto isPeer = [this](std::uint64_t hash) {
        const auto *row = m_table.host(hash);
        return hash != m_selfHash && row != nullptr && stateOf(row->state) != MemberState::Dead;
    };
    if (m_peerOrder.empty()) {
        for (const auto state : {MemberState::Live, MemberState::Suspect, MemberState::Leaving}) {
            const auto hosts = m_table.hostsIn(state);
            std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(m_peerOrder), isPeer);
        }
        std::shuffle(m_peerOrder.begin(), m_peerOrder.end(), random);
    }
    while (!m_peerOrder.empty()) {
        const auto peer = m_peerOrder.back();
        m_peerOrder.pop_back();
        if (isPeer(peer)) {
            return peer;
        }
    }
    return std::nullopt;
}

std::vector<std::uint64_t> GossipNode::livePeers() const
{
    auto peers = m_table.hostsIn(MemberState::Live);
    std::erase(peers, m_selfHash);
    return peers;
}

std::vector<std::uint64_t> GossipNode::broadcastReceivers() const
{
    auto peers = livePeers();
    const auto leaving = m_table.hostsIn(MemberState::Leaving);
    peers.insert(peers.end(), leaving.begin(), leaving.end());
    std::erase(peers, m_selfHash);
    return peers;
}

void GossipNode::answerGossip(const ControlAddress &from, const GossipMessage &message, SteadyTime now)
{
    auto answer = gossipMessage(message.number, true);
    if (message.isJoining) {
        auto rows = m_table.allRows(now);
        answer.hosts = std::move(rows.hosts);
        answer.servers = std::move(rows.servers);
    } else {
        auto rows = m_table.rowsToSend(AnswerRowBytes, now);
        answer.hosts = std::move(rows.hosts);
        answer.servers = std::move(rows.servers);
        const auto *known = m_table.host(MemberTable::hashOf(HostId(message.sender.name)));
        if (known != nullptr && stateOf(known->state) != MemberState::Live) {
            answer.hosts.push_back(*known);
        }
    }
    send(from, answer);
}

void GossipNode::compareConfiguration(const ControlAddress &from, const GossipMessage &message, SteadyTime now)
{
    const auto &theirs = message.configuration;
    const bool isEqual = theirs.digest == m_store.digest();
    if (!m_isReady) {
        m_join.onAnswer(from, message.sender.incarnation, theirs.isReady, isEqual, now);
    }
    if (isEqual) {
        m_digestMismatches = 0;
        m_completeRevision = std::max(m_completeRevision, theirs.completeThrough);
        m_gate.addReplicaOfAll(hostHashAt(from));
        return;
    }
    const bool isBehind = theirs.highestRevision > m_store.highestRevision();
    const bool mayLack = isBehind || (theirs.digest != 0 && ++m_digestMismatches >= MismatchesBeforeRepair);
    if (!m_isReady || mayLack) {
        requestRepair(from, !m_isReady || !isBehind);
    }
}

void GossipNode::requestRepair(const ControlAddress &from, bool full)
{
    auto request = full ? internal::fullRepairRequest(m_store, DigestScope::All) : RepairRequest();
    request.highestRevision = m_store.highestRevision();
    request.isJoining = !m_isReady;
    send(from, request);
}

void GossipNode::mergeRows(const std::vector<HostRow> &hosts,
                           const std::vector<ServerRow> &servers,
                           SteadyTime now,
                           Random &random)
{
    for (const auto &row : hosts) {
        mergeHost(row, now, random);
    }
    for (const auto &row : servers) {
        m_table.mergeServer(row, now);
    }
}

void GossipNode::mergeHost(const HostRow &row, SteadyTime now, Random &random)
{
    if (row.name != m_row.name) {
        m_table.mergeHost(row, now);
        if (!m_isReady && stateOf(row.state) != MemberState::Dead) {
            m_join.addHost(ControlAddress(row.address));
        }
        return;
    }
    // A newer or non-live row of this host is a suspicion, or stems from an earlier process whose clock was ahead.
    const bool isSuspected
        = row.incarnation == m_row.incarnation && row.state != m_row.state && stateOf(row.state) != MemberState::Live;
    if (row.incarnation > m_row.incarnation || isSuspected) {
        refute(row.incarnation, now, random);
    }
}

void GossipNode::refute(std::uint64_t incarnation, SteadyTime now, Random &random)
{
    m_row.incarnation = incarnation + 1;
    m_table.mergeHost(m_row, now);
    broadcastHost(m_row, now, random);
}

void GossipNode::broadcast(BroadcastMessage message, SteadyTime now, Random &random)
{
    m_broadcaster.originate(std::move(message), broadcastReceivers(), now, random);
}

void GossipNode::broadcastHost(const HostRow &row, SteadyTime now, Random &random)
{
    BroadcastMessage message;
    message.hosts.push_back(row);
    broadcast(std::move(message), now, random);
}

void GossipNode::mergeObject(const ObjectUpdate &update, std::uint64_t from)
{
    const auto &object = update.object;
    const bool changed = m_store.merge(object);
    if (!m_isReady) {
        return;
    }
    if (changed) {
        m_gate.addPending(object.key, object.version);
    }
    m_gate.addReplica(object.key, object.version, from);
    const auto *stored = m_store.find(object.key);
    if (update.inForce && stored->version == object.version && m_gate.isPending(object.key)) {
        // Enough hosts store the object already, so two replicas are recorded: this host and the placeholder 0.
        m_gate.addReplica(object.key, object.version, m_selfHash);
        m_gate.addReplica(object.key, object.version, 0);
    }
}

void GossipNode::replicate(const std::vector<VersionedObject> &objects, SteadyTime now, Random &random)
{
    if (objects.empty() || objects.size() > ReplicationObjectLimit) {
        return;
    }
    Replication replication;
    replication.message.number = ++m_lastNumber;
    for (const auto &object : objects) {
        replication.message.objects.push_back(ObjectUpdate{object, false});
    }
    sendReplication(
        m_replications.emplace(replication.message.number, std::move(replication)).first->second, now, random);
}

void GossipNode::sendReplication(Replication &replication, SteadyTime now, Random &random)
{
    replication.sent = now;
    ++replication.attempts;
    auto peers = livePeers();
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), internal::ReplicationGate::RequiredReplicas));
    for (const auto peer : peers) {
        sendToHost(peer, replication.message);
    }
}

void GossipNode::putReplicatedInForce(SteadyTime now, Random &random)
{
    if (m_gate.isEmpty()) {
        return;
    }
    // Leaving hosts may already have stopped, so no change waits for them.
    const auto required = std::min(internal::ReplicationGate::RequiredReplicas, livePeers().size());
    std::vector<ObjectUpdate> updates;
    BroadcastMessage message;
    std::size_t bytes = 0;
    for (const auto &key : m_gate.takeReplicated(required)) {
        const auto &object = *m_store.find(key);
        m_inForce.push_back(object);
        updates.push_back(ObjectUpdate{object, true});
        if (m_toBroadcast.erase(key) > 0 && bytes < BroadcastLimitBytes) {
            bytes += object.value.size();
            message.objects.push_back(updates.back());
        }
    }
    if (!message.objects.empty()) {
        broadcast(std::move(message), now, random);
    }
    sendToAgents(updates, now);
}

void GossipNode::sendToAgents(const std::vector<ObjectUpdate> &objects, SteadyTime now)
{
    ObjectsMessage message;
    std::copy_if(objects.begin(), objects.end(), std::back_inserter(message.objects), [](const ObjectUpdate &update) {
        return update.object.key.kind != LocalObjectStore::OrganisationKind;
    });
    if (message.objects.empty()) {
        return;
    }
    for (const auto &address : m_agents.agentsToUpdate(now)) {
        send(address, message);
    }
}

GossipMessage GossipNode::gossipMessage(std::uint64_t number, bool isAnswer) const
{
    GossipMessage message;
    message.number = number;
    message.isAnswer = isAnswer;
    message.domain = m_domainHash;
    message.sender = m_row;
    message.configuration = summary(DigestScope::All);
    return message;
}

ConfigurationSummary GossipNode::summary(DigestScope scope) const
{
    return ConfigurationSummary{m_store.digest(scope), m_store.highestRevision(), m_completeRevision, m_isReady};
}

std::uint64_t GossipNode::hostHashAt(const ControlAddress &address) const
{
    return m_table.hostHashAt(address).value_or(hash64(address.value()));
}

void GossipNode::send(const ControlAddress &to, const MembershipMessage &message)
{
    auto bytes = encode(message);
    const auto channel = bytes.size() <= DatagramLimitBytes ? MessageChannel::Datagram : MessageChannel::Connection;
    m_messages.push_back(OutgoingMessage{to, channel, std::move(bytes)});
}

void GossipNode::sendToHost(std::uint64_t host, const MembershipMessage &message)
{
    if (const auto *row = m_table.host(host); row != nullptr) {
        send(ControlAddress(row->address), message);
    }
}

void GossipNode::sendBroadcasts()
{
    for (const auto &[host, message] : m_broadcaster.takeDeliveries()) {
        sendToHost(host, message);
    }
}

} // namespace Cardamomhill

#include "support/fleet.h"

#include <algorithm>

namespace Cardamomhill::Testing
{

namespace
{

constexpr Seconds InForceDeadline(5);
// A joining host waits three seconds for hosts that do not answer, then asks the platform or the other hosts.
constexpr Seconds ReadyDeadline(10);
const std::vector<std::string> Kinds{"profiles", "services", "organisations"};

bool isRepairAfterJoining(const std::string &bytes)
{
    const auto message = decodeMembershipMessage(bytes).value();
    const auto *request = std::get_if<RepairRequest>(&message);
    return request != nullptr && !request->isJoining;
}

} // namespace

std::uint64_t FakePlatform::write(const ObjectKey &key, const std::string &value)
{
    objects[key] = PlatformObject{key, ++revision, value};
    m_log.push_back(objects[key]);
    return revision;
}

FollowAnswer FakePlatform::watch(std::uint64_t since)
{
    FollowAnswer answer{revision, m_watchesToRefuse > 0, {}};
    if (answer.historyGone) {
        --m_watchesToRefuse;
        return answer;
    }
    for (const auto &[key, object] : objects) {
        if (object.version > since) {
            answer.objects.push_back(object);
        }
    }
    return answer;
}

FollowAnswer FakePlatform::list(const std::string &kind)
{
    const bool isStale = m_staleLists > 0;
    m_staleLists -= isStale ? 1 : 0;
    const auto visible = m_log.size() - (isStale ? std::min(m_log.size(), m_staleWrites) : 0);
    std::map<ObjectKey, PlatformObject> state;
    for (std::size_t index = 0; index < visible; ++index) {
        state[m_log.at(index).key] = m_log.at(index);
    }
    FollowAnswer answer{visible, false, {}};
    for (const auto &[key, object] : state) {
        if (key.kind == kind) {
            answer.objects.push_back(object);
        }
    }
    return answer;
}

void FakePlatform::loseHistory(std::size_t staleWrites)
{
    m_watchesToRefuse = 2;
    m_staleLists = 2 * Kinds.size();
    m_staleWrites = staleWrites;
}

bool Member::isRunning() const
{
    return node != nullptr || agent != nullptr;
}

bool Member::isReady() const
{
    return (node != nullptr && node->hasConfiguration()) || (agent != nullptr && agent->hasConfiguration());
}

Fleet::Fleet(std::size_t domains, std::size_t hosts, std::size_t agents, std::uint64_t seed)
    : random(seed)
    , m_disconnected(domains, false)
    , m_seeds(domains)
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t index = 0; index < hosts + agents; ++index) {
            Member member;
            member.isAgent = index >= hosts;
            member.domain = domain;
            member.name
                = (member.isAgent ? "server-" : "entry-") + std::to_string(domain) + "-" + std::to_string(index);
            member.address = ControlAddress("192.0.2." + std::to_string(domain) + ":" + std::to_string(1000 + index));
            m_addresses[member.address] = members.size();
            // The platform's host list is out of date: it contains the first two hosts only.
            if (index < 2) {
                m_seeds.at(domain).push_back(member.address);
            }
            members.push_back(std::move(member));
        }
    }
}

void Fleet::start(std::size_t index)
{
    auto &member = members.at(index);
    const FailureDomainId domain("domain-" + std::to_string(member.domain));
    const WallTime wall(std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()));
    member.versionsInForce.clear();
    member.lastDisruption = now;
    if (!member.isAgent) {
        member.node = std::make_unique<GossipNode>(HostIdentity{HostId(member.name), domain, member.address, wall});
        member.node->setSeeds(m_seeds.at(member.domain));
        member.watchScheduler = std::make_unique<WatchScheduler>(Kinds);
        return;
    }
    member.agent = std::make_unique<AgentReporter>(AgentIdentity{BackendServerId(member.name), domain, wall});
    member.agent->setLoad(LoadReport{0, 0, 0, 8});
    std::vector<EntryHost> hosts;
    for (const auto &other : members) {
        if (!other.isAgent && other.domain == member.domain) {
            hosts.push_back(EntryHost{HostId(other.name), other.address});
        }
    }
    member.agent->setEntryHosts(hosts);
}

void Fleet::crash(std::size_t index)
{
    auto &member = members.at(index);
    member.node.reset();
    member.agent.reset();
    member.watchScheduler.reset();
    member.pendingRequest.reset();
    member.pausedUntil = SteadyTime();
    recordDisruption(member.domain);
}

void Fleet::pause(std::size_t index, Milliseconds time)
{
    members.at(index).pausedUntil = now + time;
    recordDisruption(members.at(index).domain);
}

void Fleet::setPlatformDisconnected(std::size_t domain, bool isDisconnected)
{
    m_disconnected.at(domain) = isDisconnected;
    recordDisruption(domain);
}

void Fleet::setPlatformDown(bool down)
{
    platform.isDown = down;
    for (std::size_t domain = 0; domain < m_disconnected.size(); ++domain) {
        recordDisruption(domain);
    }
}

std::uint64_t Fleet::write(const ObjectKey &key)
{
    const auto version = platform.write(key, R"({"weight":)" + std::to_string(platform.revision) + "}");
    m_acceptedWrites.push_back(AcceptedWrite{key, version, now});
    return version;
}

void Fleet::tick()
{
    now += Tick;
    while (!m_inFlightMessages.empty() && m_inFlightMessages.begin()->first <= now) {
        const auto inFlight = std::move(m_inFlightMessages.begin()->second);
        m_inFlightMessages.erase(m_inFlightMessages.begin());
        deliver(inFlight);
    }
    for (auto &member : members) {
        if (!member.isRunning() || isPaused(member)) {
            continue;
        }
        if (member.pausedUntil != SteadyTime()) {
            member.pausedUntil = SteadyTime();
            member.lastDisruption = now;
        }
        const bool wasReady = member.isReady();
        if (member.agent != nullptr) {
            member.agent->tick(now);
        } else {
            member.node->tick(now, random);
            pollPlatform(member);
        }
        takeOutput(member);
        checkRestart(member, wasReady);
    }
    checkDeadlines();
}

void Fleet::run(Milliseconds time)
{
    const auto end = now + time;
    while (now < end) {
        tick();
    }
}

bool Fleet::isPaused(const Member &member) const
{
    return now < member.pausedUntil;
}

std::size_t Fleet::readyHosts(std::size_t domain) const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const Member &member) {
        return member.domain == domain && !member.isAgent && member.isReady() && !isPaused(member);
    }));
}

const std::string &Fleet::violation() const
{
    return m_violation;
}

std::string Fleet::divergence() const
{
    for (const auto &member : members) {
        if (!member.isRunning()) {
            continue;
        }
        if (!member.isReady()) {
            return member.name + " is not ready";
        }
        for (const auto &[key, object] : platform.objects) {
            const auto found = member.versionsInForce.find(key);
            const bool isKept = !member.isAgent || key.kind != LocalObjectStore::OrganisationKind;
            const auto version = found == member.versionsInForce.end() ? 0 : found->second;
            if (version != (isKept ? object.version : 0)) {
                return member.name + " has version " + std::to_string(version) + " of " + key.name;
            }
        }
    }
    return "";
}

void Fleet::reportViolation(const std::string &violation)
{
    if (m_violation.empty()) {
        m_violation = violation;
    }
}

bool Fleet::chance(double probability)
{
    return std::bernoulli_distribution(probability)(random);
}

void Fleet::recordDisruption(std::size_t domain)
{
    for (auto &member : members) {
        if (member.domain == domain) {
            member.lastDisruption = now;
        }
    }
}

void Fleet::deliver(const InFlightMessage &inFlight)
{
    const auto found = m_addresses.find(inFlight.to);
    if (found == m_addresses.end() || !members.at(found->second).isRunning()) {
        return;
    }
    auto &member = members.at(found->second);
    if (isPaused(member)) {
        // The kernel buffers what arrives during the pause.
        m_inFlightMessages.emplace(member.pausedUntil, inFlight);
        return;
    }
    member.bytesReceived += inFlight.bytes.size();
    const auto result = member.agent != nullptr ? member.agent->onMessage(inFlight.from, inFlight.bytes, now)
                                                : member.node->onMessage(inFlight.from, inFlight.bytes, now, random);
    if (!result) {
        reportViolation("message rejected: " + result.error().message());
    }
    if (observer) {
        observer(member, inFlight.bytes);
    }
    takeOutput(member);
    if (seededFault == SeededFault::ApplyByArrival && member.isReady()) {
        const auto message = decodeMembershipMessage(inFlight.bytes).value();
        if (const auto *broadcast = std::get_if<BroadcastMessage>(&message)) {
            for (const auto &update : broadcast->objects) {
                apply(member, update.object.key, update.object.version);
            }
        }
    }
}

void Fleet::takeOutput(Member &member)
{
    for (const auto &object :
         member.agent != nullptr ? member.agent->takeObjectsInForce() : member.node->takeObjectsInForce()) {
        apply(member, object.key, object.version);
    }
    send(member, member.agent != nullptr ? member.agent->takeMessages() : member.node->takeMessages());
}

void Fleet::send(const Member &member, const std::vector<OutgoingMessage> &messages)
{
    for (const auto &message : messages) {
        if (message.channel == MessageChannel::Datagram && message.bytes.size() > DatagramLimitBytes) {
            reportViolation("datagram too large");
        }
        members.at(m_addresses.at(member.address)).bytesSent += message.bytes.size();
        // Connections fail too, so their messages are lost like datagrams.
        const int copies = (chance(faults.loss) ? 0 : 1) + (chance(faults.duplication) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (seededFault == SeededFault::NoRepair && isRepairAfterJoining(message.bytes)) {
                continue;
            }
            std::uniform_int_distribution<Milliseconds::rep> delay(0, faults.delay.count());
            m_inFlightMessages.emplace(now + Milliseconds(delay(random)),
                                       InFlightMessage{member.address, message.to, message.bytes});
        }
    }
}

void Fleet::apply(Member &member, const ObjectKey &key, std::uint64_t version)
{
    auto &current = member.versionsInForce[key];
    auto &highest = member.everInForce[key];
    if (version < current || (member.isReady() && version < highest)) {
        reportViolation(member.name + " reverts from " + std::to_string(std::max(current, highest)) + " to "
                        + std::to_string(version) + " of " + key.name);
    }
    current = version;
    highest = std::max(highest, version);
}

void Fleet::checkRestart(Member &member, bool wasReady)
{
    if (wasReady || !member.isReady()) {
        return;
    }
    for (const auto &[key, version] : member.everInForce) {
        if (member.versionsInForce[key] < version) {
            reportViolation(member.name + " restarted with an older version of " + key.name);
        }
    }
}

void Fleet::pollPlatform(Member &member)
{
    auto &scheduler = *member.watchScheduler;
    if (!member.node->shouldWatchPlatform(now)) {
        scheduler.stop();
        member.pendingRequest.reset();
        return;
    }
    scheduler.start(member.node->completeRevision(), now, random);
    if (auto request = scheduler.nextRequest(now, random); request.has_value()) {
        member.pendingRequest = std::move(request);
        member.pendingSince = now;
        ++platform.calls;
    }
    if (member.pendingRequest.has_value()) {
        answerPlatformRequest(member);
    }
    member.node->setPlatformReachable(scheduler.consecutiveFailures() < 3, now);
}

void Fleet::answerPlatformRequest(Member &member)
{
    const auto request = *member.pendingRequest;
    const auto number = std::visit([](const auto &content) { return content.request; }, request);
    if (platform.isDown || m_disconnected.at(member.domain)) {
        member.pendingRequest.reset();
        member.watchScheduler->onFailure(number, now, random);
        return;
    }
    FollowAnswer answer;
    if (const auto *watch = std::get_if<WatchRequest>(&request)) {
        answer = platform.watch(watch->since);
        if (answer.objects.empty() && !answer.historyGone && now - member.pendingSince < watch->timeout) {
            return;
        }
    } else {
        const auto &kind = std::get<ListRequest>(request).kind;
        answer = platform.list(kind);
        if (seededFault == SeededFault::ApplyStaleLists && member.isReady()) {
            for (const auto &object : answer.objects) {
                apply(member, object.key, object.version);
            }
        }
    }
    member.pendingRequest.reset();
    const auto result = member.watchScheduler->onAnswer(number, answer);
    member.node->mergePlatformObjects(result.objects, member.watchScheduler->completeThrough(), now, random);
}

void Fleet::checkDeadlines()
{
    while (m_nextDueWrite < m_acceptedWrites.size() && now - m_acceptedWrites.at(m_nextDueWrite).at > InForceDeadline) {
        const auto &acceptedWrite = m_acceptedWrites.at(m_nextDueWrite++);
        m_dueVersions[acceptedWrite.key] = acceptedWrite.version;
    }
    for (const auto &member : members) {
        const bool isReachable = member.isRunning() && !isPaused(member) && !m_disconnected.at(member.domain);
        if (checksDeadlines && !platform.isDown && isReachable) {
            checkDeadline(member);
        }
    }
}

void Fleet::checkDeadline(const Member &member)
{
    if (!member.isReady()) {
        if (now - member.lastDisruption > ReadyDeadline) {
            reportViolation(member.name + " is not ready in time");
        }
        return;
    }
    if (now - member.lastDisruption <= InForceDeadline) {
        return;
    }
    for (const auto &[key, version] : m_dueVersions) {
        const auto found = member.versionsInForce.find(key);
        const bool isKept = !member.isAgent || key.kind != LocalObjectStore::OrganisationKind;
        if (isKept && (found == member.versionsInForce.end() || found->second < version)) {
            reportViolation(member.name + " lacks version " + std::to_string(version) + " of " + key.name
                            + " after 5 s");
        }
    }
}

} // namespace Cardamomhill::Testing

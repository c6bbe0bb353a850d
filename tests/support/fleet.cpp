#include "support/fleet.h"

#include <algorithm>

namespace Cardamomhill::Testing
{

namespace
{

constexpr Seconds InForceLimit(5);
// Three seconds for hosts that do not answer a joining one, then the platform or the other hosts.
constexpr Seconds ReadyLimit(10);
const std::vector<std::string> Kinds{"profiles", "services", "organisations"};

bool isRepairInService(const std::string &bytes)
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
    if (answer.historyLost) {
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
    , m_cut(domains, false)
    , m_seeds(domains)
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t index = 0; index < hosts + agents; ++index) {
            Member member;
            member.isAgent = index >= hosts;
            member.domain = domain;
            member.name
                = (member.isAgent ? "server-" : "entry-") + std::to_string(domain) + "-" + std::to_string(index);
            member.address = NodeAddress("192.0.2." + std::to_string(domain) + ":" + std::to_string(1000 + index));
            m_addresses[member.address] = members.size();
            // The platform's host list lags: it names the first two hosts only.
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
    member.inForce.clear();
    member.undisturbedSince = now;
    if (!member.isAgent) {
        member.node = std::make_unique<GossipNode>(HostIdentity{HostId(member.name), domain, member.address, wall});
        member.node->setSeeds(m_seeds.at(member.domain));
        member.follower = std::make_unique<WatchFollower>(Kinds);
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
    member.follower.reset();
    member.waiting.reset();
    member.pausedUntil = SteadyTime();
    disturb(member.domain);
}

void Fleet::pause(std::size_t index, Milliseconds time)
{
    members.at(index).pausedUntil = now + time;
    disturb(members.at(index).domain);
}

void Fleet::cutFromPlatform(std::size_t domain, bool cut)
{
    m_cut.at(domain) = cut;
    disturb(domain);
}

void Fleet::setPlatformDown(bool down)
{
    platform.isDown = down;
    for (std::size_t domain = 0; domain < m_cut.size(); ++domain) {
        disturb(domain);
    }
}

std::uint64_t Fleet::write(const ObjectKey &key)
{
    const auto version = platform.write(key, R"({"weight":)" + std::to_string(platform.revision) + "}");
    m_accepted.push_back(Accepted{key, version, now});
    return version;
}

void Fleet::step()
{
    now += Tick;
    while (!m_flights.empty() && m_flights.begin()->first <= now) {
        const auto flight = std::move(m_flights.begin()->second);
        m_flights.erase(m_flights.begin());
        deliver(flight);
    }
    for (auto &member : members) {
        if (!member.isRunning() || isPaused(member)) {
            continue;
        }
        if (member.pausedUntil != SteadyTime()) {
            member.pausedUntil = SteadyTime();
            member.undisturbedSince = now;
        }
        const bool wasReady = member.isReady();
        if (member.agent != nullptr) {
            member.agent->tick(now);
        } else {
            member.node->tick(now, random);
            follow(member);
        }
        collect(member);
        checkRestart(member, wasReady);
    }
    checkDeadlines();
}

void Fleet::run(Milliseconds time)
{
    const auto end = now + time;
    while (now < end) {
        step();
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
            const auto found = member.inForce.find(key);
            const bool isKept = !member.isAgent || key.kind != ObjectStore::OrganisationKind;
            const auto version = found == member.inForce.end() ? 0 : found->second;
            if (version != (isKept ? object.version : 0)) {
                return member.name + " has version " + std::to_string(version) + " of " + key.name;
            }
        }
    }
    return "";
}

void Fleet::report(const std::string &violation)
{
    if (m_violation.empty()) {
        m_violation = violation;
    }
}

bool Fleet::chance(double probability)
{
    return std::bernoulli_distribution(probability)(random);
}

void Fleet::disturb(std::size_t domain)
{
    for (auto &member : members) {
        if (member.domain == domain) {
            member.undisturbedSince = now;
        }
    }
}

void Fleet::deliver(const Flight &flight)
{
    const auto found = m_addresses.find(flight.to);
    if (found == m_addresses.end() || !members.at(found->second).isRunning()) {
        return;
    }
    auto &member = members.at(found->second);
    if (isPaused(member)) {
        // The kernel keeps what arrives during the pause.
        m_flights.emplace(member.pausedUntil, flight);
        return;
    }
    member.bytesReceived += flight.bytes.size();
    const auto result = member.agent != nullptr ? member.agent->onMessage(flight.from, flight.bytes, now)
                                                : member.node->onMessage(flight.from, flight.bytes, now, random);
    if (!result) {
        report("message refused: " + result.error().message());
    }
    if (observer) {
        observer(member, flight.bytes);
    }
    collect(member);
    if (seededFault == SeededFault::MergeByArrival && member.isReady()) {
        const auto message = decodeMembershipMessage(flight.bytes).value();
        if (const auto *broadcast = std::get_if<BroadcastMessage>(&message)) {
            for (const auto &update : broadcast->objects) {
                apply(member, update.object.key, update.object.version);
            }
        }
    }
}

void Fleet::collect(Member &member)
{
    for (const auto &object : member.agent != nullptr ? member.agent->takeInForce() : member.node->takeInForce()) {
        apply(member, object.key, object.version);
    }
    launch(member, member.agent != nullptr ? member.agent->takeMessages() : member.node->takeMessages());
}

void Fleet::launch(const Member &member, const std::vector<OutgoingMessage> &messages)
{
    for (const auto &message : messages) {
        if (message.channel == MessageChannel::Datagram && message.bytes.size() > DatagramLimitBytes) {
            report("datagram too large");
        }
        members.at(m_addresses.at(member.address)).bytesSent += message.bytes.size();
        // Connections break as well, so what they carry is lost as datagrams are.
        const int copies = (chance(faults.loss) ? 0 : 1) + (chance(faults.duplication) ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (seededFault == SeededFault::NoRepair && isRepairInService(message.bytes)) {
                continue;
            }
            std::uniform_int_distribution<Milliseconds::rep> delay(0, faults.delay.count());
            m_flights.emplace(now + Milliseconds(delay(random)), Flight{member.address, message.to, message.bytes});
        }
    }
}

void Fleet::apply(Member &member, const ObjectKey &key, std::uint64_t version)
{
    auto &current = member.inForce[key];
    auto &highest = member.everInForce[key];
    if (version < current || (member.isReady() && version < highest)) {
        report(member.name + " steps back from " + std::to_string(std::max(current, highest)) + " to "
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
        if (member.inForce[key] < version) {
            report(member.name + " restarted with an older version of " + key.name);
        }
    }
}

void Fleet::follow(Member &member)
{
    auto &follower = *member.follower;
    if (!member.node->shouldFollow(now)) {
        follower.stop();
        member.waiting.reset();
        return;
    }
    follower.start(member.node->completeThrough(), now, random);
    if (auto request = follower.nextRequest(now, random); request.has_value()) {
        member.waiting = std::move(request);
        member.waitingSince = now;
        ++platform.calls;
    }
    if (member.waiting.has_value()) {
        answer(member);
    }
    member.node->setPlatformContact(follower.consecutiveFailures() < 3, now);
}

void Fleet::answer(Member &member)
{
    const auto request = *member.waiting;
    const auto number = std::visit([](const auto &content) { return content.request; }, request);
    if (platform.isDown || m_cut.at(member.domain)) {
        member.waiting.reset();
        member.follower->onFailure(number, now, random);
        return;
    }
    FollowAnswer answer;
    if (const auto *watch = std::get_if<WatchRequest>(&request)) {
        answer = platform.watch(watch->since);
        if (answer.objects.empty() && !answer.historyLost && now - member.waitingSince < watch->timeout) {
            return;
        }
    } else {
        const auto &kind = std::get<ListRequest>(request).kind;
        answer = platform.list(kind);
        if (seededFault == SeededFault::ResyncReplaces && member.isReady()) {
            for (const auto &object : answer.objects) {
                apply(member, object.key, object.version);
            }
        }
    }
    member.waiting.reset();
    const auto result = member.follower->onAnswer(number, answer);
    member.node->onPlatformObjects(result.objects, member.follower->completeThrough(), now, random);
}

void Fleet::checkDeadlines()
{
    while (m_nextDue < m_accepted.size() && now - m_accepted.at(m_nextDue).at > InForceLimit) {
        const auto &accepted = m_accepted.at(m_nextDue++);
        m_due[accepted.key] = accepted.version;
    }
    for (const auto &member : members) {
        const bool isReachable = member.isRunning() && !isPaused(member) && !m_cut.at(member.domain);
        if (checksDeadlines && !platform.isDown && isReachable) {
            checkDeadline(member);
        }
    }
}

void Fleet::checkDeadline(const Member &member)
{
    if (!member.isReady()) {
        if (now - member.undisturbedSince > ReadyLimit) {
            report(member.name + " is not ready in time");
        }
        return;
    }
    if (now - member.undisturbedSince <= InForceLimit) {
        return;
    }
    for (const auto &[key, version] : m_due) {
        const auto found = member.inForce.find(key);
        const bool isKept = !member.isAgent || key.kind != ObjectStore::OrganisationKind;
        if (isKept && (found == member.inForce.end() || found->second < version)) {
            report(member.name + " lacks version " + std::to_string(version) + " of " + key.name + " after 5 s");
        }
    }
}

} // namespace Cardamomhill::Testing

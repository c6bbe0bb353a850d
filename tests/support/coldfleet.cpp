#include "support/coldfleet.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds Tick{10};
constexpr Milliseconds MaxDelay{50};
constexpr Milliseconds MaxFreeze{3000};
constexpr Milliseconds RestartOfAll{4000};
const ServiceId Service("s");

} // namespace

ColdFleet::ColdFleet(Options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_hosts(options.hosts)
    , m_arrivals(options.servers)
{
    constexpr int MissingAnother = 4;
    const auto missing = hostId(m_random() % options.hosts);
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (options.hasOutdatedLists && happens(2)) {
            m_hosts[host].missing = happens(MissingAnother) ? hostId(m_random() % options.hosts) : missing;
        }
        start(host);
    }
}

HostId ColdFleet::hostId(std::size_t host)
{
    return HostId("host-" + std::to_string(host));
}

BackendServerId ColdFleet::serverId(std::size_t server)
{
    return BackendServerId("server-" + std::to_string(server));
}

void ColdFleet::start(std::size_t host)
{
    auto &started = m_hosts[host];
    started.limit = ColdServerLimit({hostId(host), m_options.overshoot, m_options.slack});
    started.connecting.clear();
    TrafficService service;
    service.id = Service;
    service.coldStart = Seconds(1000);
    service.coldCallsPerSecond = m_options.rate;
    started.limit.setServices({{Service, service}});
    std::set<HostId> listed;
    for (std::size_t other = 0; other < m_hosts.size(); ++other) {
        listed.insert(hostId(other));
    }
    if (started.missing) {
        listed.erase(*started.missing);
    }
    started.limit.setHosts(listed, m_now);
    started.limit.setRegistered(m_now);
    ServerChanges changes;
    for (std::size_t number = 0; number < m_options.servers; ++number) {
        DiscoveredServer server;
        server.id = serverId(number);
        server.service = Service;
        changes.updated.push_back(server);
    }
    started.limit.apply(changes, m_now);
}

void ColdFleet::play(Milliseconds time)
{
    for (const auto end = m_now + time; m_now < end; m_now += Tick) {
        disturb();
        for (auto &host : m_hosts) {
            if (host.frozenUntil <= m_now) {
                step(host);
            }
        }
    }
}

void ColdFleet::disturb()
{
    constexpr int TicksBetweenDisturbances = 200;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const bool restartsWithAll = m_now - m_startedAt == RestartOfAll;
        if (m_options.hasRestarts && (restartsWithAll || happens(TicksBetweenDisturbances))) {
            start(host);
        }
        if (m_options.hasFreezes && happens(TicksBetweenDisturbances)) {
            m_hosts[host].frozenUntil = m_now + random(MaxFreeze);
        }
    }
}

void ColdFleet::step(Host &host)
{
    std::erase_if(host.connecting, [&](const Call &call) {
        if (call.at > m_now) {
            return false;
        }
        if (host.limit.recordSent(serverId(call.server), call.startedAt, m_now)) {
            m_arrivals[call.server].push_back({m_now, m_now + random(MaxDelay)});
        }
        return true;
    });
    for (std::size_t server = 0; server < m_options.servers; ++server) {
        while (host.limit.maySend(serverId(server), m_now)) {
            host.limit.recordStarted(serverId(server), m_now);
            host.connecting.push_back({server, m_now, m_now + random(m_options.connectTime)});
        }
    }
}

double ColdFleet::limit() const
{
    return m_options.rate * m_options.overshoot + m_options.slack;
}

std::size_t ColdFleet::mostInOneSecond() const
{
    std::size_t most = 0;
    for (const auto &arrivals : m_arrivals) {
        for (const auto &first : arrivals) {
            const auto countFrom = [&](SteadyTime begin, auto timeOf) {
                return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &call) {
                    return timeOf(call) >= begin && call.receivedAt <= begin + Seconds(1);
                }));
            };
            const auto sentAt = [](const Arrival &call) { return call.sentAt; };
            const auto receivedAt = [](const Arrival &call) { return call.receivedAt; };
            most = std::max({most, countFrom(first.sentAt, sentAt), countFrom(first.receivedAt, receivedAt)});
        }
    }
    return most;
}

double ColdFleet::leastPerSecond() const
{
    const auto begin = m_startedAt + Seconds(2);
    const std::chrono::duration<double> time = m_now - begin;
    std::size_t least = SIZE_MAX;
    for (const auto &arrivals : m_arrivals) {
        const auto count = std::count_if(
            arrivals.begin(), arrivals.end(), [begin](const Arrival &call) { return call.sentAt >= begin; });
        least = std::min(least, static_cast<std::size_t>(count));
    }
    return static_cast<double>(least) / time.count();
}

Milliseconds ColdFleet::random(Milliseconds max)
{
    return Milliseconds(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(max.count() + 1)));
}

bool ColdFleet::happens(int oneIn)
{
    return m_random() % static_cast<std::uint64_t>(oneIn) == 0;
}

} // namespace Cardamomhill

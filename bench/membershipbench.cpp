#include "membership/configurationrepair.h"
#include "support/fleet.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

// Measures how control traffic, time, memory and platform calls of membership and configuration grow with the number of
// nodes. There are two baselines: direct heartbeats between all pairs, and every process polling the platform.

namespace Cardamomhill::Bench
{

namespace
{

using Testing::Fleet;
using Testing::Member;

constexpr Seconds WarmUp(20);
constexpr Seconds IdlePeriod(45);
// 5,900 changes per day are one every 14.6 s.
constexpr Milliseconds ChangePeriod(14600);
// Every second, each entry host and agent sends one heartbeat of 60 bytes to each entry host of the failure domain.
constexpr double HeartbeatBytes = 60;
constexpr double PollSeconds = 2;

struct Size {
    std::size_t hosts;
    std::size_t servers;
};

const std::vector<Size> Sizes{{10, 42}, {20, 84}, {40, 168}, {79, 336}};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// The exponent of the growth between the first and the last size.
double growthExponent(double firstX, double firstY, double lastX, double lastY)
{
    return std::log(lastY / firstY) / std::log(lastX / firstX);
}

void startAll(Fleet &fleet)
{
    fleet.checksDeadlines = false;
    fleet.write({"profiles", "chat"});
    fleet.write({"services", "stock"});
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        fleet.start(index);
    }
    fleet.run(WarmUp);
}

// Changes each server's load by a random walk, so that reports have new content as under traffic.
void changeLoads(Fleet &fleet)
{
    for (auto &member : fleet.members) {
        if (member.isAgent && fleet.random() % 10 == 0) {
            auto load = member.agent->row().load();
            load.capacity = 32;
            load.running = static_cast<std::uint32_t>(
                std::clamp<int>(static_cast<int>(load.running) + static_cast<int>(fleet.random() % 5) - 2, 0, 32));
            member.agent->setLoad(load);
        }
    }
}

struct Traffic {
    double hostBytes = 0;
    double agentBytes = 0;
    double hostMaximum = 0;
    double microsecondsPerMessage = 0;
    double hostCorePercent = 0;
    double loadAgeSeconds = 0;
};

double meanLoadAgeSeconds(const Fleet &fleet)
{
    double sum = 0;
    std::size_t count = 0;
    const auto *host = fleet.members.front().node.get();
    for (const auto &member : fleet.members) {
        if (const auto load = host->members().server(BackendServerId(member.name));
            member.isAgent && load.has_value()) {
            sum += std::chrono::duration<double>(fleet.now - load->reportedAt).count();
            ++count;
        }
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

Traffic measureTraffic(Fleet &fleet, bool countsMessages)
{
    std::vector<std::uint64_t> before;
    for (const auto &member : fleet.members) {
        before.push_back(member.bytesSent + member.bytesReceived);
    }
    std::uint64_t messages = 0;
    fleet.observer = [&](const Member &, const std::string &) { ++messages; };
    const auto start = cpuSeconds();
    auto nextChange = fleet.now + ChangePeriod;
    const auto end = fleet.now + IdlePeriod;
    while (fleet.now < end) {
        if (fleet.now >= nextChange) {
            fleet.write({"profiles", "chat"});
            nextChange += ChangePeriod;
        }
        changeLoads(fleet);
        fleet.tick();
    }
    const auto seconds = std::chrono::duration<double>(IdlePeriod).count();
    const auto used = cpuSeconds() - start;
    Traffic traffic;
    std::size_t hosts = 0;
    for (std::size_t index = 0; index < fleet.members.size(); ++index) {
        const auto &member = fleet.members.at(index);
        const auto bytes = static_cast<double>(member.bytesSent + member.bytesReceived - before.at(index)) / seconds;
        (member.isAgent ? traffic.agentBytes : traffic.hostBytes) += bytes;
        hosts += member.isAgent ? 0 : 1;
        traffic.hostMaximum = std::max(traffic.hostMaximum, member.isAgent ? 0 : bytes);
    }
    traffic.hostBytes /= static_cast<double>(hosts);
    traffic.agentBytes /= static_cast<double>(fleet.members.size() - hosts);
    traffic.microsecondsPerMessage = countsMessages ? used * 1e6 / static_cast<double>(messages) : 0;
    // CPU time of all members and the simulated network, divided by the hosts alone: an upper bound for one host.
    traffic.hostCorePercent = 100 * used / seconds / static_cast<double>(hosts);
    traffic.loadAgeSeconds = meanLoadAgeSeconds(fleet);
    fleet.observer = nullptr;
    return traffic;
}

void printTraffic()
{
    std::printf("control traffic without failures, one change every 14.6 s, loads changing (sent plus received)\n");
    std::printf("%6s %8s %11s %10s %11s %10s %9s %9s %9s %11s %11s\n",
                "hosts",
                "servers",
                "host B/s",
                "max B/s",
                "agent B/s",
                "us/msg",
                "core %",
                "load age",
                "B/peer",
                "pairs B/s",
                "ratio");
    std::vector<Traffic> results;
    for (const auto &size : Sizes) {
        const auto heap = heapBytes();
        Fleet fleet(1, size.hosts, size.servers, 1);
        startAll(fleet);
        const auto memory = static_cast<double>(heapBytes() - heap) / static_cast<double>(size.hosts);
        const auto traffic = measureTraffic(fleet, true);
        const auto members = static_cast<double>(size.hosts + size.servers);
        // Sent by this host to the other hosts, and received from those and all servers.
        const auto pairs
            = HeartbeatBytes * (2 * static_cast<double>(size.hosts - 1) + static_cast<double>(size.servers));
        std::printf("%6zu %8zu %11.0f %10.0f %11.0f %10.1f %9.3f %8.1fs %9.0f %11.0f %11.3f\n",
                    size.hosts,
                    size.servers,
                    traffic.hostBytes,
                    traffic.hostMaximum,
                    traffic.agentBytes,
                    traffic.microsecondsPerMessage,
                    traffic.hostCorePercent,
                    traffic.loadAgeSeconds,
                    memory / members,
                    pairs,
                    traffic.hostBytes / pairs);
        results.push_back(traffic);
    }
    const double first = static_cast<double>(Sizes.front().hosts);
    const double last = static_cast<double>(Sizes.back().hosts);
    std::printf("exponents: host bytes %.2f, agent bytes %.2f, core %.2f, all pairs 1.00\n\n",
                growthExponent(first, results.front().hostBytes, last, results.back().hostBytes),
                growthExponent(first, results.front().agentBytes, last, results.back().agentBytes),
                growthExponent(first, results.front().hostCorePercent, last, results.back().hostCorePercent));
}

std::size_t outdatedMembers(const Fleet &fleet, const ObjectKey &key, std::uint64_t version)
{
    return static_cast<std::size_t>(
        std::count_if(fleet.members.begin(), fleet.members.end(), [&](const Member &member) {
            const auto found = member.versionsInForce.find(key);
            return found == member.versionsInForce.end() || found->second < version;
        }));
}

void printSpread()
{
    constexpr int Changes = 15;
    std::printf("time from an accepted write until the last process applies it, in ticks of 100 ms, %d changes\n",
                Changes);
    std::printf("%6s %8s %6s %8s %8s %8s\n", "hosts", "servers", "loss", "median", "90%", "worst");
    for (const double loss : {0.0, 0.05}) {
        std::vector<double> medians;
        for (const auto &size : Sizes) {
            Fleet fleet(1, size.hosts, size.servers, 2);
            startAll(fleet);
            fleet.faults.loss = loss;
            const ObjectKey key{"profiles", "chat"};
            std::vector<int> ticks;
            for (int change = 0; change < Changes; ++change) {
                const auto version = fleet.write(key);
                int count = 0;
                while (outdatedMembers(fleet, key, version) > 0 && count < 600) {
                    fleet.tick();
                    ++count;
                }
                ticks.push_back(count);
                fleet.run(Seconds(3));
            }
            std::sort(ticks.begin(), ticks.end());
            std::printf("%6zu %8zu %5.0f%% %8d %8d %8d\n",
                        size.hosts,
                        size.servers,
                        loss * 100,
                        ticks.at(Changes / 2),
                        ticks.at(Changes * 9 / 10),
                        ticks.back());
            medians.push_back(ticks.at(Changes / 2));
        }
        std::printf("exponent of the median at %.0f%% loss: %.2f\n",
                    loss * 100,
                    growthExponent(static_cast<double>(Sizes.front().hosts),
                                   medians.front(),
                                   static_cast<double>(Sizes.back().hosts),
                                   medians.back()));
    }
    std::printf("\n");
}

double callsPerSecond(Fleet &fleet, Seconds time)
{
    const auto before = fleet.platform.calls;
    fleet.run(time);
    return static_cast<double>(fleet.platform.calls - before) / std::chrono::duration<double>(time).count();
}

// 1,400 restarts per hour in 14 failure domains are 100 per domain, one every 36 s.
double callsUnderRestarts(Fleet &fleet)
{
    const auto before = fleet.platform.calls;
    constexpr int Restarts = 5;
    constexpr Seconds Period(36);
    const auto hosts = static_cast<std::size_t>(std::count_if(
        fleet.members.begin(), fleet.members.end(), [](const Member &member) { return !member.isAgent; }));
    for (int restart = 0; restart < Restarts; ++restart) {
        const auto index = fleet.random() % hosts;
        fleet.crash(index);
        fleet.run(Seconds(1));
        fleet.start(index);
        fleet.run(Period - Seconds(1));
    }
    return static_cast<double>(fleet.platform.calls - before)
        / (Restarts * std::chrono::duration<double>(Period).count());
}

void printCalls()
{
    constexpr int DomainsAtTarget = 14;
    std::printf(
        "platform calls per second of one domain (x14 at the target size); baseline: each process polls every 2 s\n");
    std::printf("%6s %8s %8s %8s %12s %10s %14s %10s\n",
                "hosts",
                "servers",
                "idle",
                "outage",
                "10 s after",
                "restarts",
                "restarts x14",
                "baseline");
    std::vector<double> idleCalls;
    for (const auto &size : Sizes) {
        Fleet fleet(1, size.hosts, 0, 3);
        startAll(fleet);
        idleCalls.push_back(callsPerSecond(fleet, Seconds(30)));
        fleet.setPlatformDown(true);
        const auto outage = callsPerSecond(fleet, Seconds(30));
        fleet.setPlatformDown(false);
        const auto after = callsPerSecond(fleet, Seconds(10));
        const auto restarts = callsUnderRestarts(fleet);
        std::printf("%6zu %8zu %8.2f %8.2f %12.2f %10.2f %14.1f %10.1f\n",
                    size.hosts,
                    size.servers,
                    idleCalls.back(),
                    outage,
                    after,
                    restarts,
                    restarts * DomainsAtTarget,
                    static_cast<double>(size.hosts + size.servers) / PollSeconds);
    }
    std::printf("exponents: idle calls %.2f, baseline 1.00\n\n",
                growthExponent(static_cast<double>(Sizes.front().hosts),
                               idleCalls.front(),
                               static_cast<double>(Sizes.back().hosts),
                               idleCalls.back()));
}

VersionedObject organisation(std::size_t number)
{
    VersionedObject object;
    object.key = {LocalObjectStore::OrganisationKind, "organisation-" + std::to_string(number)};
    object.version = number + 1;
    object.value = R"({"weight":4,"limit":120,"tokenSha256":")" + std::string(64, 'a') + R"(","service":"desk"})";
    return object;
}

void printOrganisations()
{
    std::printf(
        "organisations: memory of the object store, and bytes to repair that of a restarted entry host from a peer\n");
    std::printf(
        "%14s %10s %12s %14s %14s %14s\n", "organisations", "MB", "B/object", "repair MB", "messages", "fill ms");
    std::vector<double> bytes;
    const std::vector<std::size_t> counts{4750, 9500, 19000, 38000};
    for (const auto count : counts) {
        const auto heap = heapBytes();
        LocalObjectStore full;
        for (std::size_t number = 0; number < count; ++number) {
            full.merge(organisation(number));
        }
        const auto memory = static_cast<double>(heapBytes() - heap);
        LocalObjectStore empty;
        const internal::ReplicationGate gate;
        std::size_t sent = 0;
        std::size_t messages = 0;
        const auto start = cpuSeconds();
        while (empty.digest() != full.digest()) {
            const auto request = internal::fullRepairRequest(empty, DigestScope::All);
            const auto text = encode(internal::repairAnswer(full, gate, request));
            sent += text.size() + encode(request).size();
            ++messages;
            const auto decoded = decodeMembershipMessage(text);
            const auto &answer = std::get<ObjectsMessage>(decoded.value());
            for (const auto &held : answer.objects) {
                empty.merge(held.object);
            }
            if (const auto keys = internal::missingKeys(empty, answer); !keys.empty()) {
                const auto fetched = encode(internal::fetchAnswer(full, gate, FetchRequest{keys, false, true}));
                sent += fetched.size() + keys.size() * sizeof(keys.front());
                const auto second = decodeMembershipMessage(fetched);
                for (const auto &held : std::get<ObjectsMessage>(second.value()).objects) {
                    empty.merge(held.object);
                }
            }
        }
        std::printf("%14zu %10.2f %12.0f %14.2f %14zu %14.1f\n",
                    count,
                    memory / 1e6,
                    memory / static_cast<double>(count),
                    static_cast<double>(sent) / 1e6,
                    messages,
                    (cpuSeconds() - start) * 1e3);
        bytes.push_back(memory);
    }
    std::printf(
        "exponent of the memory: %.2f\n",
        growthExponent(
            static_cast<double>(counts.front()), bytes.front(), static_cast<double>(counts.back()), bytes.back()));
}

} // namespace

} // namespace Cardamomhill::Bench

int main()
{
    // Line buffering prints each row as it is measured; the whole run takes minutes.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    Cardamomhill::Bench::printTraffic();
    Cardamomhill::Bench::printSpread();
    Cardamomhill::Bench::printCalls();
    Cardamomhill::Bench::printOrganisations();
    return 0;
}

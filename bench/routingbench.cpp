// Measures routing: waits and imbalance with delayed load reports, prefix affinity, time per decision and admission,
// memory, and goodput during failures. Usage: routingbench [waits|affinity|time|memory|retries]...

#include "routing/routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iomanip>
#include <iostream>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <set>
#include <sstream>
#include <tuple>
#include <vector>

#include <malloc.h>

namespace Cardamomhill
{

namespace
{

const ServiceId SERVICE("assistant");
const FailureDomainId DOMAIN_NAME("zona-norte");
constexpr std::uint32_t SLOTS = 8;
constexpr double MICROSECONDS_PER_SECOND = 1e6;
constexpr std::uint64_t FIRST_SEED = 20261204;
constexpr std::size_t SEEDS = 5;

enum class Policy : std::uint8_t {
    RandomServer,
    RoundRobin,
    LeastReported,
    TwoReported,
    /// Corrects reports by the change of own requests since the report, where ThisPolicy uses all own requests.
    TwoCorrected,
    ThisPolicy,
    /// ThisPolicy with the load in each reply, but without learning how reliable reports are.
    FixedTrustWithReplies,
    /// ThisPolicy with the load in each reply, as in production (section 5 of the design page).
    ThisPolicyWithReplies,
};

constexpr auto nameTable(Policy)
{
    return std::to_array<NamedValue<Policy>>({
        {Policy::RandomServer, "random"},
        {Policy::RoundRobin, "round robin"},
        {Policy::LeastReported, "least by report"},
        {Policy::TwoReported, "two by report"},
        {Policy::TwoCorrected, "two, own since report"},
        {Policy::ThisPolicy, "this policy, no replies"},
        {Policy::FixedTrustWithReplies, "replies, fixed trust"},
        {Policy::ThisPolicyWithReplies, "this policy"},
    });
}

BackendServerId serverId(std::size_t number)
{
    return BackendServerId("backend-server-" + std::to_string(number));
}

void fillTable(BackendTable &table, std::size_t servers)
{
    for (std::size_t number = 0; number < servers; ++number) {
        table.upsert({serverId(number), SERVICE, DOMAIN_NAME, MemberState::Live, 1, 0});
    }
}

SteadyTime atSecond(double seconds)
{
    return SteadyTime(Microseconds(std::llround(seconds * MICROSECONDS_PER_SECOND)));
}

struct Setting {
    std::size_t entryHosts = 15;
    std::size_t servers = 16;
    double utilisation = 0.8;
    double durationSeconds = 300;
    double warmUpSeconds = 60;
    double reportDelaySeconds = 1;
    Policy policy = Policy::ThisPolicy;
    /// Number of prefixes that prompts share; 0 if they share none.
    std::size_t prefixes = 0;
    /// Number of prefixes in the cache of a server.
    std::size_t cachedPrefixes = 40;
    bool useAffinity = false;
    double affinityFactor = 1.0;
    std::uint64_t seed = FIRST_SEED;
};

struct Figures {
    double meanWaitSeconds = 0;
    double p99WaitSeconds = 0;
    /// Coefficient of variation of the outstanding requests over the servers; mean over samples.
    double imbalance = 0;
    double hitRate = 0;
    double meanResponseSeconds = 0;
};

/// Simulates servers with a queue and SLOTS slots each, and entry hosts that choose among them independently. Service
/// times are exponentially distributed with mean 1 s; a prefix hit saves 30%.
class FleetSimulation
{
public:
    explicit FleetSimulation(const Setting &setting)
        : m_setting(setting)
        , m_random(setting.seed)
        , m_servers(setting.servers)
    {
        for (std::size_t number = 0; number < setting.servers; ++number) {
            m_ids.push_back(serverId(number));
            schedule(uniform() * setting.reportDelaySeconds, [this, number] { sampleReport(number); });
        }
        for (std::size_t number = 0; number < setting.entryHosts; ++number) {
            m_hosts.push_back(std::make_unique<Host>(setting, m_random()));
        }
        setUpPrefixes();
        schedule(setting.warmUpSeconds, [this] { sampleImbalance(); });
        schedule(nextArrival(), [this] { arrive(); });
    }

    Figures run()
    {
        while (!m_events.empty() && m_events.top().time < m_setting.durationSeconds) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        return figures();
    }

private:
    struct Event {
        double time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    struct Request {
        std::size_t host;
        std::size_t prefix;
        double arrival;
    };

    struct Server {
        std::uint32_t running = 0;
        std::deque<Request> queue;
        std::list<std::size_t> prefixes;
        std::uint64_t sequence = 0;

        std::uint32_t outstanding() const
        {
            return running + static_cast<std::uint32_t>(queue.size());
        }
    };

    struct Host {
        Host(const Setting &setting, std::uint64_t seed)
            : router(table, DOMAIN_NAME, routerOptions(setting))
            , random(seed)
            , reported(setting.servers)
            , inFlight(setting.servers)
            , inFlightAtReport(setting.servers)
            , nextServer(seed % setting.servers)
        {
            fillTable(table, setting.servers);
        }

        static RouterOptions routerOptions(const Setting &setting)
        {
            RouterOptions options;
            options.affinityFactor = setting.affinityFactor;
            return options;
        }

        BackendTable table;
        Router router;
        Random random;
        std::vector<double> reported;
        std::vector<double> inFlight;
        std::vector<double> inFlightAtReport;
        std::size_t nextServer;
    };

    bool usesReplies() const
    {
        return m_setting.policy == Policy::FixedTrustWithReplies || m_setting.policy == Policy::ThisPolicyWithReplies;
    }

    bool usesTable() const
    {
        return m_setting.policy == Policy::ThisPolicy || usesReplies();
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>()(m_random);
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    void schedule(double delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_order++, std::move(action)});
    }

    double nextArrival()
    {
        return exponential(1 / (m_setting.utilisation * SLOTS * static_cast<double>(m_setting.servers)));
    }

    /// The popularity of a prefix is proportional to its rank to the power of -0.9.
    void setUpPrefixes()
    {
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= m_setting.prefixes; ++rank) {
            weights.push_back(std::pow(static_cast<double>(rank), -0.9));
        }
        m_popularity = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    void arrive()
    {
        schedule(nextArrival(), [this] { arrive(); });
        const std::size_t host = m_random() % m_hosts.size();
        const std::size_t prefix = m_setting.prefixes > 0 ? m_popularity(m_random) : 0;
        const std::size_t server = choose(*m_hosts[host], prefix);
        m_hosts[host]->inFlight[server] += 1;
        if (usesTable()) {
            m_hosts[host]->table.attemptStarted(m_ids[server]);
        }
        m_servers[server].queue.push_back({host, prefix, m_now});
        startNext(server);
    }

    void startNext(std::size_t number)
    {
        Server &server = m_servers[number];
        if (server.running == SLOTS || server.queue.empty()) {
            return;
        }
        const Request request = server.queue.front();
        server.queue.pop_front();
        ++server.running;
        const bool hit = m_setting.prefixes > 0 && usePrefix(server, request.prefix);
        if (m_now >= m_setting.warmUpSeconds) {
            m_waits.push_back(m_now - request.arrival);
            m_hits += hit ? 1 : 0;
        }
        const double service = exponential(hit ? 0.7 : 1.0);
        if (m_now >= m_setting.warmUpSeconds) {
            m_services.push_back(service);
        }
        schedule(service, [this, number, request] { complete(number, request); });
    }

    bool usePrefix(Server &server, std::size_t prefix)
    {
        const auto known = std::find(server.prefixes.begin(), server.prefixes.end(), prefix);
        const bool hit = known != server.prefixes.end();
        if (hit) {
            server.prefixes.erase(known);
        }
        server.prefixes.push_front(prefix);
        if (server.prefixes.size() > m_setting.cachedPrefixes) {
            server.prefixes.pop_back();
        }
        return hit;
    }

    void complete(std::size_t number, const Request &request)
    {
        --m_servers[number].running;
        startNext(number);
        Host &host = *m_hosts[request.host];
        host.inFlight[number] -= 1;
        if (usesTable()) {
            host.table.attemptFinished(m_ids[number], AttemptResult::Success, atSecond(m_now));
        }
        if (usesReplies()) {
            // The table learns how reliable reports are only from those marked as replies.
            const bool learns = m_setting.policy == Policy::ThisPolicyWithReplies;
            takeReport(host, number, makeReport(number), learns ? ReportSource::Reply : ReportSource::Gossip);
        }
    }

    LoadReport makeReport(std::size_t number)
    {
        Server &server = m_servers[number];
        return {++server.sequence, server.running, static_cast<std::uint32_t>(server.queue.size()), SLOTS};
    }

    void sampleReport(std::size_t number)
    {
        const LoadReport report = makeReport(number);
        schedule(m_setting.reportDelaySeconds, [this, number, report] {
            for (const auto &host : m_hosts) {
                takeReport(*host, number, report, ReportSource::Gossip);
            }
        });
        schedule(m_setting.reportDelaySeconds, [this, number] { sampleReport(number); });
    }

    void takeReport(Host &host, std::size_t number, const LoadReport &report, ReportSource source)
    {
        if (usesTable()) {
            host.table.report(m_ids[number], 1, report, source, atSecond(m_now));
            return;
        }
        host.reported[number] = report.running + report.queued;
        host.inFlightAtReport[number] = host.inFlight[number];
    }

    std::size_t choose(Host &host, std::size_t prefix)
    {
        const std::size_t servers = m_setting.servers;
        const auto reported = [&](std::size_t number) { return host.reported[number]; };
        const auto corrected = [&](std::size_t number) {
            const double change = host.inFlight[number] - host.inFlightAtReport[number];
            return std::max(host.inFlight[number], host.reported[number] + change);
        };
        switch (m_setting.policy) {
        case Policy::RandomServer:
            return host.random() % servers;
        case Policy::RoundRobin:
            return host.nextServer++ % servers;
        case Policy::LeastReported:
            return leastOf(host, reported);
        case Policy::TwoReported:
            return betterOfTwo(host, reported);
        case Policy::TwoCorrected:
            return betterOfTwo(host, corrected);
        case Policy::ThisPolicy:
        case Policy::FixedTrustWithReplies:
        case Policy::ThisPolicyWithReplies:
            break;
        }
        const std::string prompt = m_setting.useAffinity ? "prefix " + std::to_string(prefix) : "";
        const auto decision = host.router.choose({SERVICE, prompt, {}, {}}, atSecond(m_now), host.random);
        return host.table.find(decision.value().server).value();
    }

    std::size_t betterOfTwo(Host &host, const std::function<double(std::size_t)> &load) const
    {
        const std::size_t first = host.random() % m_setting.servers;
        const std::size_t second = (first + 1 + host.random() % (m_setting.servers - 1)) % m_setting.servers;
        return load(second) < load(first) ? second : first;
    }

    std::size_t leastOf(Host &host, const std::function<double(std::size_t)> &load) const
    {
        const std::size_t start = host.random() % m_setting.servers;
        std::size_t best = start;
        for (std::size_t step = 1; step < m_setting.servers; ++step) {
            const std::size_t number = (start + step) % m_setting.servers;
            best = load(number) < load(best) ? number : best;
        }
        return best;
    }

    void sampleImbalance()
    {
        schedule(1, [this] { sampleImbalance(); });
        double sum = 0;
        double squares = 0;
        for (const Server &server : m_servers) {
            sum += server.outstanding();
            squares += static_cast<double>(server.outstanding()) * server.outstanding();
        }
        const double mean = sum / static_cast<double>(m_servers.size());
        const double variance = squares / static_cast<double>(m_servers.size()) - mean * mean;
        m_imbalances.push_back(mean > 0 ? std::sqrt(std::max(variance, 0.0)) / mean : 0);
    }

    Figures figures()
    {
        Figures result;
        std::sort(m_waits.begin(), m_waits.end());
        const auto count = static_cast<double>(m_waits.size());
        result.meanWaitSeconds = std::accumulate(m_waits.begin(), m_waits.end(), 0.0) / count;
        result.p99WaitSeconds = m_waits[static_cast<std::size_t>(count * 0.99)];
        result.meanResponseSeconds
            = result.meanWaitSeconds + std::accumulate(m_services.begin(), m_services.end(), 0.0) / count;
        result.hitRate = static_cast<double>(m_hits) / count;
        result.imbalance
            = std::accumulate(m_imbalances.begin(), m_imbalances.end(), 0.0) / static_cast<double>(m_imbalances.size());
        return result;
    }

    Setting m_setting;
    Random m_random;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<Server> m_servers;
    std::vector<BackendServerId> m_ids;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::discrete_distribution<std::size_t> m_popularity;
    std::vector<double> m_waits;
    std::vector<double> m_services;
    std::vector<double> m_imbalances;
    std::size_t m_hits = 0;
};

/// Mean and standard deviation of a figure over the seeds.
struct Spread {
    double mean = 0;
    double deviation = 0;
};

Spread spreadOf(const std::vector<Figures> &runs, double Figures::*figure)
{
    Spread spread;
    for (const Figures &run : runs) {
        spread.mean += run.*figure / static_cast<double>(runs.size());
    }
    double squares = 0;
    for (const Figures &run : runs) {
        squares += (run.*figure - spread.mean) * (run.*figure - spread.mean);
    }
    spread.deviation = std::sqrt(squares / static_cast<double>(runs.size() - 1));
    return spread;
}

std::vector<Figures> runSeeds(Setting setting)
{
    std::vector<Figures> runs;
    for (std::size_t seed = 0; seed < SEEDS; ++seed) {
        setting.seed = FIRST_SEED + seed;
        runs.push_back(FleetSimulation(setting).run());
    }
    return runs;
}

void printSpread(const Spread &spread, double scale, int digits)
{
    std::cout << std::setw(9) << std::setprecision(digits) << spread.mean * scale << " +-" << std::setw(6)
              << spread.deviation * scale;
}

void printRun(std::string_view name, const std::vector<Figures> &runs, double baselineWait)
{
    const Spread wait = spreadOf(runs, &Figures::meanWaitSeconds);
    std::cout << std::left << std::setw(24) << name << std::right;
    printSpread(wait, 1000, 1);
    printSpread(spreadOf(runs, &Figures::p99WaitSeconds), 1000, 0);
    printSpread(spreadOf(runs, &Figures::imbalance), 1, 3);
    std::cout << std::setw(9) << std::setprecision(3) << wait.mean / baselineWait;
}

void benchWaits()
{
    std::cout << "Waits with delayed reports (" << SLOTS << " slots per server, 1 s mean service, utilisation 0.8; mean"
              << " +- standard deviation over " << SEEDS << " seeds; ratio of mean waits to random)\n";
    for (const auto &[hosts, servers, seconds] : {std::tuple(15, 16, 300.0), std::tuple(79, 336, 90.0)}) {
        for (const double delaySeconds : {0.1, 1.0, 10.0}) {
            std::cout << hosts << " entry hosts, " << servers << " servers, reports " << std::setprecision(1)
                      << delaySeconds << " s delayed\n"
                      << "policy                      mean wait/ms         p99/ms          imbalance      ratio\n";
            double baseline = 0;
            for (const auto &policy : nameTable(Policy{})) {
                Setting setting;
                setting.entryHosts = static_cast<std::size_t>(hosts);
                setting.servers = static_cast<std::size_t>(servers);
                setting.durationSeconds = seconds;
                setting.warmUpSeconds = std::max(20.0, 4 * delaySeconds);
                setting.reportDelaySeconds = delaySeconds;
                setting.policy = policy.value;
                const auto runs = runSeeds(setting);
                baseline = baseline == 0 ? spreadOf(runs, &Figures::meanWaitSeconds).mean : baseline;
                printRun(policy.name, runs, baseline);
                std::cout << std::endl;
            }
        }
    }
}

void benchAffinity(Setting setting, const std::vector<double> &factors)
{
    std::cout
        << "Prefix affinity (" << setting.entryHosts << " entry hosts, " << setting.servers << " servers, "
        << setting.prefixes << " prefixes, " << setting.cachedPrefixes << " cached by each server, reports "
        << std::setprecision(0) << setting.reportDelaySeconds << " s delayed; ratio of mean waits to no affinity)\n"
        << "bound                       mean wait/ms         p99/ms          imbalance      ratio      hits   wait + "
           "service/ms\n";
    double baseline = 0;
    for (const double factor : factors) {
        setting.useAffinity = factor > 0;
        setting.affinityFactor = factor;
        const auto runs = runSeeds(setting);
        baseline = baseline == 0 ? spreadOf(runs, &Figures::meanWaitSeconds).mean : baseline;
        std::ostringstream name;
        name << factor << " * mean + 1";
        printRun(factor == 0 ? "no affinity" : factor > 1e6 ? "no bound" : name.str(), runs, baseline);
        std::cout << std::setw(9) << std::setprecision(1) << spreadOf(runs, &Figures::hitRate).mean * 100 << "%";
        printSpread(spreadOf(runs, &Figures::meanResponseSeconds), 1000, 1);
        std::cout << std::endl;
    }
}

void benchAffinity()
{
    Setting today;
    today.policy = Policy::ThisPolicyWithReplies;
    today.prefixes = 1000;
    benchAffinity(today, {0.0, 1.0, 1.25, 1.5, 2.0, 1e9});
    Setting target = today;
    target.entryHosts = 79;
    target.servers = 336;
    target.prefixes = 20000;
    target.durationSeconds = 90;
    target.warmUpSeconds = 40;
    target.reportDelaySeconds = 10;
    benchAffinity(target, {0.0, 1.0, 1.25, 1.5});
}

/// Nanoseconds per call in the fastest of several rounds, since other load on the machine can only add time.
double nanosecondsPerCall(int calls, const std::function<void()> &call)
{
    constexpr int ROUNDS = 9;
    double best = std::numeric_limits<double>::max();
    for (int round = 0; round < ROUNDS; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            call();
        }
        const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - start;
        best = std::min(best, taken.count() / calls);
    }
    return best;
}

/// Slope of the least-squares line through the points.
double slopeOf(const std::vector<std::pair<double, double>> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    const auto count = static_cast<double>(points.size());
    return (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
}

void benchDecisionTime()
{
    std::cout << "Time per decision in ns (25 decisions/s: time advances by 40 ms between decisions; fastest of 9"
              << " rounds; ratio of this policy to a scan of all scores)\n"
              << "candidates   scan all   two choices   with affinity   two choices, time fixed    ratio\n";
    std::array<std::vector<std::pair<double, double>>, 4> points;
    for (const std::size_t servers : {4, 16, 64, 336, 1344, 4700}) {
        BackendTable table;
        fillTable(table, servers);
        Random random(FIRST_SEED);
        SteadyTime now = atSecond(1);
        std::uint64_t sequence = 0;
        const auto reportAll = [&] {
            ++sequence;
            for (std::size_t number = 0; number < servers; ++number) {
                table.report(serverId(number),
                             1,
                             {sequence, static_cast<std::uint32_t>(random() % 16), 0, 16},
                             ReportSource::Gossip,
                             now);
            }
        };
        reportAll();
        const Router router(table, DOMAIN_NAME);
        const std::string prompt(1024, 'p');
        double sum = 0;
        const auto decide = [&](std::string_view text, Microseconds step) {
            now += step;
            sum += router.choose({SERVICE, text, {}, {}}, now, random).value().score;
        };
        const auto scan = [&] {
            now += Milliseconds(40);
            const auto &pool = table.pools(SERVICE).front();
            double best = std::numeric_limits<double>::max();
            for (const auto index : pool.live) {
                best = std::min(best, table.score(index, pool, now));
            }
            sum += best;
        };
        const int calls = static_cast<int>(std::max<std::size_t>(200, 200000 / servers));
        const std::array<double, 4> times{
            nanosecondsPerCall(calls, scan),
            nanosecondsPerCall(calls, [&] { decide("", Milliseconds(40)); }),
            nanosecondsPerCall(calls, [&] { decide(prompt, Milliseconds(40)); }),
            nanosecondsPerCall(calls, [&] { decide("", Microseconds(0)); }),
        };
        for (std::size_t i = 0; i < times.size(); ++i) {
            points[i].emplace_back(static_cast<double>(servers), times[i]);
        }
        std::cout << std::setprecision(0) << std::setw(10) << servers << std::setw(11) << times[0] << std::setw(14)
                  << times[1] << std::setw(16) << times[2] << std::setw(27) << times[3] << std::setprecision(3)
                  << std::setw(8) << times[1] / times[0] << (std::isnan(sum) ? "!" : "") << std::endl;
    }
    std::cout << std::setprecision(2) << "slope in ns per candidate: scan " << slopeOf(points[0]) << ", two choices "
              << slopeOf(points[1]) << ", with affinity " << slopeOf(points[2]) << ", two choices with time fixed "
              << slopeOf(points[3]) << "\n";
}

OrganisationLimits organisation(std::size_t number)
{
    return {OrganisationId("organisation-" + std::to_string(number)), static_cast<std::uint32_t>(number % 4 + 1), 0};
}

void benchAdmissionTime()
{
    std::cout << "Time per admission and release in ns, by active organisations (node limit 256, half in use; fastest"
              << " of 9 rounds; ratio to 10 organisations)\n"
              << "organisations     ns   ratio\n";
    double baseline = 0;
    for (const std::size_t count : {10, 100, 1000, 10000, 38000}) {
        AdmissionControl admission;
        Random random(FIRST_SEED);
        SteadyTime now = atSecond(1);
        std::vector<OrganisationLimits> organisations;
        for (std::size_t number = 0; number < count; ++number) {
            organisations.push_back(organisation(number));
        }
        std::deque<std::size_t> running;
        const auto call = [&] {
            now += Microseconds(10);
            const std::size_t number = random() % count;
            if (admission.admit(organisations[number], PriorityClass::Interactive, now).has_value()) {
                running.push_back(number);
            }
            if (running.size() > 128) {
                admission.release(organisations[running.front()].id, now);
                running.pop_front();
            }
        };
        const double time = nanosecondsPerCall(200000, call);
        baseline = baseline == 0 ? time : baseline;
        std::cout << std::setprecision(0) << std::setw(13) << admission.activeOrganisations() << std::setw(7) << time
                  << std::setprecision(2) << std::setw(8) << time / baseline << std::endl;
    }
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void benchMemory()
{
    constexpr std::size_t SERVERS = 4700;
    constexpr std::size_t ORGANISATIONS = 38000;
    const std::size_t before = heapBytes();
    BackendTable table;
    fillTable(table, SERVERS);
    const std::size_t servers = heapBytes() - before;
    AdmissionControl admission;
    for (std::size_t number = 0; number < ORGANISATIONS; ++number) {
        admission.admit(organisation(number), PriorityClass::Interactive, atSecond(1)).has_value();
        admission.release(organisation(number).id, atSecond(1));
    }
    const std::size_t organisations = heapBytes() - before - servers;
    std::cout << "Memory in bytes as counted by malloc: " << servers / SERVERS << " per server (" << SERVERS << ": "
              << servers << "), " << organisations / ORGANISATIONS << " per active organisation (" << ORGANISATIONS
              << ": " << organisations << ")\n";
}

struct RetryVariant {
    std::string_view name;
    std::size_t maxAttempts;
    bool useBudget;
};

struct RetryFigures {
    /// Fraction of requests answered before their deadline, by arrival: before, during and after the failures.
    std::array<double, 3> goodput{};
    /// Both of the requests that arrived during the failures.
    double attemptsPerRequest = 0;
    double serverSecondsPerAnswer = 0;
};

/// When the simulated process started: long enough ago to have its slack.
constexpr SteadyTime LongAgo{-Seconds(3600)};

/// Simulates servers with a phase in which half of the attempts fail after their full service time. Requests have a
/// deadline of 3 s; an attempt past it is dropped at the head of the queue, but a running one is not cancelled.
class FailureSimulation
{
public:
    FailureSimulation(const RetryVariant &variant, double utilisation, std::uint64_t seed)
        : m_useBudget(variant.useBudget)
        , m_utilisation(utilisation)
        , m_policy(RetryOptions{variant.maxAttempts, Milliseconds(50)})
        , m_random(seed)
    {
        at(0, [this] { arrive(); });
    }

    RetryFigures run()
    {
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto action = event->second;
            m_events.erase(event);
            action();
        }
        RetryFigures figures;
        for (std::size_t phase = 0; phase < figures.goodput.size(); ++phase) {
            figures.goodput[phase] = static_cast<double>(m_answered[phase]) / static_cast<double>(m_arrived[phase]);
        }
        figures.attemptsPerRequest = static_cast<double>(m_attemptsDuringFailures) / static_cast<double>(m_arrived[1]);
        figures.serverSecondsPerAnswer = m_serverSecondsDuringFailures / static_cast<double>(m_answered[1]);
        return figures;
    }

private:
    static constexpr std::size_t SERVERS = 16;
    static constexpr double DEADLINE_SECONDS = 3;
    static constexpr double FAILURES_START_SECONDS = 60;
    static constexpr double FAILURES_END_SECONDS = 120;
    static constexpr double END_SECONDS = 180;

    struct Request {
        double arrival = 0;
        AttemptLog attempts;
    };

    struct Server {
        std::uint32_t running = 0;
        std::deque<std::shared_ptr<Request>> queue;
    };

    void at(double delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    std::size_t phaseOf(double time) const
    {
        return time < FAILURES_START_SECONDS ? 0 : time < FAILURES_END_SECONDS ? 1 : 2;
    }

    void arrive()
    {
        if (m_now < END_SECONDS) {
            const double rate = m_utilisation * SLOTS * SERVERS;
            at(std::exponential_distribution<double>(rate)(m_random), [this] { arrive(); });
        }
        ++m_arrived[phaseOf(m_now)];
        m_budget.recordFirstAttempt(atSecond(m_now));
        auto request = std::make_shared<Request>();
        request->arrival = m_now;
        attempt(request);
    }

    void attempt(const std::shared_ptr<Request> &request)
    {
        request->attempts.start();
        m_attemptsDuringFailures += phaseOf(request->arrival) == 1 ? 1 : 0;
        const auto load
            = [this](std::size_t number) { return m_servers[number].running + m_servers[number].queue.size(); };
        const std::size_t first = m_random() % SERVERS;
        const std::size_t second = m_random() % SERVERS;
        const std::size_t best = load(second) < load(first) ? second : first;
        m_servers[best].queue.push_back(request);
        startNext(best);
    }

    void startNext(std::size_t number)
    {
        Server &server = m_servers[number];
        while (server.running < SLOTS && !server.queue.empty()) {
            const auto request = server.queue.front();
            server.queue.pop_front();
            if (m_now >= request->arrival + DEADLINE_SECONDS) {
                continue;
            }
            ++server.running;
            const double service = std::exponential_distribution<double>(1)(m_random);
            m_serverSecondsDuringFailures += phaseOf(request->arrival) == 1 ? service : 0;
            at(service, [this, number, request] {
                --m_servers[number].running;
                finish(request);
                startNext(number);
            });
        }
    }

    void finish(const std::shared_ptr<Request> &request)
    {
        const bool inTime = m_now < request->arrival + DEADLINE_SECONDS;
        const bool fails = phaseOf(m_now) == 1 && m_random() % 2 == 0;
        request->attempts.end(request->attempts.count() - 1,
                              fails ? RequestOutcome::Unknown : RequestOutcome::Completed);
        if (!fails) {
            m_answered[phaseOf(request->arrival)] += inTime ? 1 : 0;
            return;
        }
        const RetryContext context{true, false, atSecond(request->arrival + DEADLINE_SECONDS)};
        // Without a retry budget, each decision gets a full one.
        RetryBudget full(RetryBudgetOptions(), LongAgo);
        RetryBudget &budget = m_useBudget ? m_budget : full;
        if (m_policy.decide(context, request->attempts, budget, atSecond(m_now)).has_value()) {
            attempt(request);
        }
    }

    bool m_useBudget;
    double m_utilisation;
    RetryPolicy m_policy;
    Random m_random;
    double m_now = 0;
    RetryBudget m_budget{RetryBudgetOptions(), LongAgo};
    std::multimap<double, std::function<void()>> m_events;
    std::array<Server, SERVERS> m_servers;
    std::array<std::size_t, 3> m_arrived{};
    std::array<std::size_t, 3> m_answered{};
    std::size_t m_attemptsDuringFailures = 0;
    double m_serverSecondsDuringFailures = 0;
};

void benchRetries()
{
    std::cout
        << "Goodput with 50% of attempts failing for 60 s (16 servers, deadline 3 s; fraction of requests answered in"
        << " time, mean of " << SEEDS << " seeds)\n"
        << "utilisation retries                before     during    after   attempts/request   server seconds/"
        << "answer   goodput ratio to none\n";
    const std::array<RetryVariant, 4> variants{{{"none", 1, false},
                                                {"3 attempts, no budget", 3, false},
                                                {"any number, no budget", 1000, false},
                                                {"3 attempts, budget", 3, true}}};
    for (const double utilisation : {0.5, 0.7, 0.9}) {
        double baseline = 0;
        for (const RetryVariant &variant : variants) {
            RetryFigures mean;
            for (std::size_t seed = 0; seed < SEEDS; ++seed) {
                const RetryFigures run = FailureSimulation(variant, utilisation, FIRST_SEED + seed).run();
                for (std::size_t phase = 0; phase < mean.goodput.size(); ++phase) {
                    mean.goodput[phase] += run.goodput[phase] / SEEDS;
                }
                mean.attemptsPerRequest += run.attemptsPerRequest / SEEDS;
                mean.serverSecondsPerAnswer += run.serverSecondsPerAnswer / SEEDS;
            }
            baseline = baseline == 0 ? mean.goodput[1] : baseline;
            std::cout << std::setprecision(1) << std::setw(11) << utilisation << ' ' << std::left << std::setw(22)
                      << variant.name << std::right << std::setprecision(3) << std::setw(7) << mean.goodput[0]
                      << std::setw(11) << mean.goodput[1] << std::setw(9) << mean.goodput[2] << std::setw(19)
                      << mean.attemptsPerRequest << std::setw(24) << mean.serverSecondsPerAnswer << std::setw(24)
                      << mean.goodput[1] / baseline << std::endl;
        }
    }
}

} // namespace

} // namespace Cardamomhill

int main(int argc, char **argv)
{
    using namespace Cardamomhill;
    const std::set<std::string_view> chosen(argv + 1, argv + argc);
    const auto isChosen = [&](std::string_view name) { return chosen.empty() || chosen.count(name) > 0; };
    std::cout << std::fixed;
    if (isChosen("memory")) {
        benchMemory();
    }
    if (isChosen("time")) {
        benchDecisionTime();
        benchAdmissionTime();
    }
    if (isChosen("retries")) {
        benchRetries();
    }
    if (isChosen("affinity")) {
        benchAffinity();
    }
    if (isChosen("waits")) {
        benchWaits();
    }
    return 0;
}

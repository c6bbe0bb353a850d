#include "soak/engineload.h"

#include "core/parsenumber.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "soak/ledger.h"
#include "soak/soakhost.h"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace Cardamomhill
{

namespace
{

const std::string Service = "model";
const std::string Urgent = "urgent";
const std::string Batch = "batch";
/// The organisations and their keys. The first one sends the surges.
const std::array<std::pair<std::string, std::string>, 3> Organisations{
    {{"workshop", "k"}, {"mill", "key-of-mill"}, {"forge", "key-of-forge"}}};
/// How long engines hold the calls of a group that has lost a rank; EngineGroup refuses them after that time.
constexpr Milliseconds EngineStall{600};
constexpr Milliseconds RouteTimeout{8000};
constexpr Milliseconds LatencyObjective{400};
constexpr Milliseconds PauseObjective{120};
/// Ten events in as many passes of 20 ms. A group of 2 x 12 engine slots makes 120 of such streams a second, one of
/// 2 x 4 slots 40.
constexpr int Events = 10;
constexpr std::size_t FewSlots = 4;
constexpr std::size_t ShortQueue = 8;
constexpr double StepMsPerRequest = 0.5;
/// Of each organisation, 35 a second in all.
constexpr Milliseconds UrgentInterval{200};
constexpr Milliseconds BatchInterval{150};
/// 66 a second, which with the others is more than twice what the engines can do.
constexpr Milliseconds SurgeInterval{15};
constexpr Milliseconds MinQuietTime{500};
constexpr Milliseconds MaxQuietTime{1500};
constexpr Milliseconds MinOutageTime{2000};
constexpr Milliseconds MaxOutageTime{3500};
/// Time after an outage in which requests that waited for its end are served.
constexpr Milliseconds TimeAfterOutage{3000};
constexpr Milliseconds SurgeTime{3500};
constexpr Milliseconds ConnectTimeout{1000};
/// How long a caller waits for the next part of an answer: 2 s and a second more.
constexpr Milliseconds AnswerTimeout{3000};
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

EngineGroupOptions groupOptions(const EngineLoad::Options &options)
{
    EngineGroupOptions group;
    group.name = "group";
    group.service = Service;
    group.seed = options.seed;
    if (options.hasUrgency) {
        group.slots = FewSlots;
        group.queue = ShortQueue;
    }
    return group;
}

const std::string &keyOf(const std::string &organisation)
{
    const auto found = std::find_if(
        Organisations.begin(), Organisations.end(), [&](const auto &entry) { return entry.first == organisation; });
    return found->second;
}

Milliseconds elapsedSince(SteadyTime time)
{
    return std::chrono::duration_cast<Milliseconds>(steadyNow() - time);
}

} // namespace

EngineLoad::EngineLoad(
    asio::io_context &context, Options options, std::vector<SoakHost *> hosts, Ledger &ledger, OutageObserver onOutage)
    : m_context(context)
    , m_options(options)
    , m_random(options.seed)
    , m_hosts(std::move(hosts))
    , m_ledger(ledger)
    , m_onOutage(std::move(onOutage))
    , m_group(context,
              groupOptions(options),
              {[this](const std::string &id) { m_ledger.ran(id, Organisations.front().first); },
               [](const std::string &) {},
               [](const std::string &) {}})
{
}

void EngineLoad::start(PlatformStore &store)
{
    const auto started = m_group.start(store);
    if (started.has_error()) {
        throw std::runtime_error(started.error().message());
    }
}

std::string EngineLoad::settings()
{
    return "engine_stall_ms: " + std::to_string(EngineStall.count()) + "\n";
}

void EngineLoad::addService(nlohmann::json &configuration) const
{
    auto service = EngineGroup::serviceDocument(Service);
    if (m_options.hasUrgency) {
        service["engine"]["slots"] = FewSlots;
        service["engine"]["per_seq_ms"] = StepMsPerRequest;
    }
    configuration["services"].push_back(std::move(service));
    auto route = configuration["routes"][2];
    route["service"] = Service;
    route["timeout-ms"] = RouteTimeout.count();
    route["target-latency-ms"] = LatencyObjective.count();
    route["gap-target-ms"] = PauseObjective.count();
    for (const auto &kind : {Urgent, Batch}) {
        route["name"] = kind;
        route["path-prefix"] = "/" + kind + "/";
        route["priority"] = m_options.hasUrgency && kind == Urgent ? 0 : 1;
        configuration["routes"].push_back(route);
    }
    for (std::size_t i = 1; i < Organisations.size(); ++i) {
        configuration["tenants"].push_back(
            {{"name", Organisations[i].first}, {"api-keys", nlohmann::json::array({Organisations[i].second})}});
    }
}

Task<> EngineLoad::run(SteadyTime disturbedUntil, SteadyTime until)
{
    for (const auto &[organisation, key] : Organisations) {
        for (const auto &kind : {Urgent, Batch}) {
            const auto interval = kind == Urgent ? UrgentInterval : BatchInterval;
            spawn(m_context.get_executor(), "engine-requests", sendSteadily(kind, organisation, interval, until));
        }
    }
    while (true) {
        co_await sleep(randomBetween(MinQuietTime, MaxQuietTime));
        if (steadyNow() >= disturbedUntil) {
            co_return;
        }
        if (m_options.hasUrgency) {
            m_isSurge = true;
            co_await sendSteadily(Batch, Organisations.front().first, SurgeInterval, steadyNow() + SurgeTime);
            m_isSurge = false;
        } else {
            co_await stopEngines(disturbedUntil);
        }
    }
}

Task<> EngineLoad::stopEngines(SteadyTime end)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(end - steadyNow());
    setOutage(true);
    m_outages.begin(steadyNow());
    co_await sleep(std::min(left, randomBetween(MinOutageTime, MaxOutageTime)));
    setOutage(false);
    m_outages.end(steadyNow());
    co_await sleep(TimeAfterOutage);
}

void EngineLoad::setOutage(bool isOut)
{
    m_group.setDown(isOut);
    m_ledger.setOutage(isOut);
    m_onOutage(isOut);
}

Task<> EngineLoad::sendSteadily(std::string kind, std::string organisation, Milliseconds interval, SteadyTime until)
{
    while (steadyNow() < until) {
        EngineRequest request;
        request.id = "engine-" + std::to_string(++m_requests);
        request.kind = kind;
        request.organisation = organisation;
        request.host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
        request.sentAt = steadyNow();
        request.isInSurge = m_isSurge;
        spawn(m_context.get_executor(), "engine-request", send(std::move(request)));
        // Random, so that the requests of several organisations do not always come in the same order.
        co_await sleep(randomBetween(interval / 2, interval * 3 / 2));
    }
}

Task<> EngineLoad::send(EngineRequest request)
{
    const std::string firstId = request.id;
    auto answer = co_await tryOnce(request, firstId);
    bool wasOut = false;
    if (answer.retryAfter) {
        wasOut = m_outages.isOut(steadyNow());
        co_await sleep(*answer.retryAfter);
        request.retriedAt = steadyNow();
        const std::string id = request.id + "-retry";
        answer = co_await tryOnce(request, id);
    }
    if (isExcused(request)) {
        ++m_excused;
        co_return;
    }
    if (wasOut) {
        m_outages.retried(request.id, *request.retriedAt, answer.isServed);
    }
    if (request.isInSurge) {
        m_served.add({request.kind, request.organisation, request.kind + " of " + request.organisation},
                     answer.isServed);
    }
}

Task<EngineLoad::Answer> EngineLoad::tryOnce(const EngineRequest &request, std::string id)
{
    Answer answer;
    HttpClientConnection connection(m_context);
    const auto connected = co_await connection.connect(m_hosts[request.host]->listen(), ConnectTimeout);
    const auto remaining = RouteTimeout - elapsedSince(request.sentAt);
    if (connected.has_error() || remaining <= Milliseconds(0)) {
        co_return answer;
    }
    m_ledger.sent(id, CallKind::Stream, request.host);
    auto message = makeHttpRequest("POST", "/" + request.kind + "/stream", id);
    message.set("Host", "shop.example");
    message.set("Authorization", "Token " + keyOf(request.organisation));
    message.set("Cardamomhill-Request-Id", id);
    message.set("Cardamomhill-Request-Deadline", std::to_string(remaining.count()));
    message.set("X-Events", std::to_string(Events));
    const auto started = co_await connection.start(std::move(message), AnswerTimeout);
    if (started.has_error()) {
        m_ledger.unanswered(id, isExcused(request) || started.error().code == NetErrorCode::TimedOut);
        co_return answer;
    }
    m_ledger.answered(id, connection.status());
    if (connection.status() == Unavailable) {
        const auto seconds = parseNumber<double>(std::string(connection.head()["Retry-After"]));
        if (seconds) {
            answer.retryAfter = Milliseconds(static_cast<Milliseconds::rep>(*seconds * 1000));
        }
        co_return answer;
    }
    while (connection.status() == Ok) {
        const auto data = co_await connection.readSome(AnswerTimeout);
        if (data.has_error()) {
            break;
        }
        if (!data.value()) {
            answer.isServed = true;
            break;
        }
    }
    co_return answer;
}

bool EngineLoad::isExcused(const EngineRequest &request) const
{
    return !m_hosts[request.host]->stability().isStableSince(request.sentAt);
}

void EngineLoad::judge()
{
    for (const auto &violation : m_outages.violations()) {
        m_ledger.addViolation("outage", violation);
    }
    for (const auto &violation : m_served.violations()) {
        m_ledger.addViolation("urgency", violation);
    }
}

std::map<std::string, std::size_t> EngineLoad::counts() const
{
    std::map<std::string, std::size_t> counts{{"engine-excused", m_excused}};
    if (m_options.hasUrgency) {
        counts["urgency"] = m_served.requestCount();
        counts["urgency-served"] = m_served.servedCount();
    } else {
        counts["outage-rejection"] = m_ledger.rejectedInOutageCount();
        counts["outage-retry"] = m_outages.checkedRetryCount();
    }
    return counts;
}

Task<> EngineLoad::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

Milliseconds EngineLoad::randomBetween(Milliseconds low, Milliseconds high)
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(low.count(), high.count())(m_random));
}

} // namespace Cardamomhill

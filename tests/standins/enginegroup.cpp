#include "standins/enginegroup.h"

#include "control/controladdress.h"
#include "net/httplimits.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "standins/enginestream.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t Layers = 2;
constexpr std::size_t ExpertsPerLayer = 16;
constexpr int ReplicasPerRank = 10;
constexpr int SpareReplicas = 2;
/// Time in which a group forms anew, as serviceDocument() states it.
constexpr Milliseconds FormingTime{600};
/// Time for which a group that is down holds requests before it refuses them.
constexpr Milliseconds RefusalDelay{600};
/// Time to copy one expert: 580 MB at 92,000 Mbit/s.
constexpr Milliseconds CopyTime{51};
/// How long the same experts are popular.
constexpr Milliseconds PopularTime{3000};
constexpr std::uint64_t PopularSelections = 200;
/// Passes in which a preempted request is read again.
constexpr std::uint64_t PassesToReadAgain = 5;
constexpr Seconds MaxWait{60};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned UnknownOrder = 400;
constexpr unsigned Conflict = 409;
constexpr unsigned Fenced = 412;
constexpr unsigned Misdirected = 421;
constexpr unsigned Unavailable = 503;

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event-" + std::to_string(number) + "\n\n";
}

int numberIn(const HttpRequest &request, const char *header, int defaultValue)
{
    const auto text = request[header];
    return text.empty() ? defaultValue : std::stoi(std::string(text));
}

HttpHeaders headersFor(const HttpRequest &request)
{
    return {{"Cardamomhill-Request-Id", std::string(request["Cardamomhill-Request-Id"])}};
}

} // namespace

EngineGroup::EngineGroup(asio::io_context &context, EngineGroupOptions options, Observers observers)
    : m_context(context)
    , m_options(std::move(options))
    , m_observers(std::move(observers))
    , m_random(m_options.seed)
    , m_ranks(m_options.ranks)
{
    EngineRank::Map first;
    first.experts.assign(Layers, std::vector<std::set<int>>(m_options.ranks));
    for (auto &layer : first.experts) {
        for (std::size_t expert = 0; expert < ExpertsPerLayer; ++expert) {
            layer[expert % m_options.ranks].insert(static_cast<int>(expert));
        }
    }
    for (auto &rank : m_ranks) {
        rank.map = first;
        rank.counts.assign(Layers * ExpertsPerLayer, 0);
    }
}

Result<void, NetError> EngineGroup::start(PlatformStore &store)
{
    m_startedAt = steadyNow();
    for (std::size_t number = 0; number < m_ranks.size(); ++number) {
        auto &rank = m_ranks[number];
        const auto endpoint = freeEndpoint(m_context);
        rank.server = std::make_unique<HttpServer>(
            m_context, HttpLimits(), [this, number](HttpExchange &exchange) { return serve(number, exchange); });
        BOOST_OUTCOME_TRY(rank.server->listen(endpoint, false));
        rank.address = controlAddress(endpoint).value();
    }
    m_store = &store;
    registerRanks();
    spawn(m_context.get_executor(), "engine-group", passLoop());
    return success();
}

void EngineGroup::registerRanks()
{
    for (std::size_t number = 0; number < m_ranks.size(); ++number) {
        m_store->put("servers",
                     m_options.name + "-" + std::to_string(number),
                     {{"service", m_options.service},
                      {"address", m_ranks[number].address},
                      {"zone", "d" + std::to_string(1 + number % m_options.failureDomains)},
                      {"version", "v1"},
                      {"slots", m_options.slots},
                      {"state", "ready"},
                      {"cold-remaining-ms", 0},
                      {"group", membershipOf(number)},
                      {"size", m_options.ranks},
                      {"born", 1},
                      {"sequence", 1}});
    }
}

void EngineGroup::breakOff()
{
    for (auto &rank : m_ranks) {
        for (auto *const streams : {&rank.running, &rank.waiting}) {
            for (auto *const stream : *streams) {
                stream->isAbandoned = true;
                stream->changed.notify();
                m_observers.onBrokenOff(stream->id);
            }
            streams->clear();
        }
        rank.armed.reset();
        rank.heldStep.reset();
        rank.prepared.reset();
    }
}

void EngineGroup::setDown(bool isDown)
{
    m_isDown = isDown;
    m_isOpen = !isDown;
    if (isDown) {
        breakOff();
    }
}

Task<> EngineGroup::formAnew()
{
    m_isOpen = false;
    ++m_epoch;
    breakOff();
    registerRanks();
    co_await sleep(FormingTime);
    m_isOpen = true;
    registerRanks();
}

nlohmann::json EngineGroup::serviceDocument(const std::string &name)
{
    const Json engine{{"slots", EngineGroupOptions().slots},
                      {"kv-capacity-tokens", 372'000},
                      {"link-mbps", 92'000.0},
                      {"stride", 5},
                      {"step_ms", 4.0},
                      {"per_seq_ms", 0.0},
                      {"context_per_k", 0.0},
                      {"read_per_s", 61'200.0},
                      {"report_lag_ms", 0.0},
                      {"usual", {{"prompt", 835}, {"answer", 139}}},
                      {"sets", Layers},
                      {"experts", ExpertsPerLayer},
                      {"places", ReplicasPerRank},
                      {"spare", SpareReplicas},
                      {"expert-mb", 580.0},
                      {"expert-share", 0.85},
                      {"form_ms", static_cast<double>(FormingTime.count())}};
    return {{"name", name},
            {"health-path", "/health"},
            {"max-connections", 975},
            {"protocol", "h1"},
            {"tls", false},
            {"engine", engine}};
}

std::uint64_t EngineGroup::passCount() const
{
    return m_step;
}

std::uint64_t EngineGroup::switchCount() const
{
    return m_rankSwitchCount / m_ranks.size();
}

std::uint64_t EngineGroup::splitPassCount() const
{
    return m_splitPassCount;
}

std::uint64_t EngineGroup::reformationCount() const
{
    return m_epoch - 1;
}

std::uint64_t EngineGroup::orderCount() const
{
    return m_orderCount;
}

Milliseconds EngineGroup::longestHold() const
{
    return static_cast<Milliseconds::rep>(m_longestHoldPasses) * m_options.passTime;
}

Task<> EngineGroup::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

Milliseconds EngineGroup::randomUpTo(Milliseconds largest)
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, largest.count())(m_random));
}

bool EngineGroup::happens(double fraction)
{
    return std::bernoulli_distribution(fraction)(m_random);
}

Task<> EngineGroup::passLoop()
{
    while (true) {
        co_await sleep(m_options.passTime);
        pass();
    }
}

void EngineGroup::pass()
{
    if (!m_isOpen) {
        return;
    }
    const bool isSwitching
        = std::any_of(m_ranks.begin(), m_ranks.end(), [](const auto &rank) { return rank.armed || rank.heldStep; });
    if (isSwitching && happens(m_options.reformations)) {
        spawn(m_context.get_executor(), "engine-group-forming", formAnew());
        return;
    }
    const auto next = m_step + 1;
    if (std::any_of(m_ranks.begin(), m_ranks.end(), [next](const auto &rank) { return rank.heldStep == next; })) {
        m_longestHoldPasses = std::max(m_longestHoldPasses, ++m_heldPasses);
        return;
    }
    m_heldPasses = 0;
    m_step = next;
    bool isSplit = false;
    for (auto &rank : m_ranks) {
        if (rank.armed && rank.armed->step == m_step) {
            rank.map = *rank.prepared;
            rank.armed.reset();
            ++m_rankSwitchCount;
        }
        isSplit = isSplit || rank.map.version != m_ranks.front().map.version;
        selectExperts(rank);
        runStreams(rank);
    }
    m_splitPassCount += isSplit ? 1 : 0;
}

void EngineGroup::selectExperts(EngineRank &rank) const
{
    const auto period = (steadyNow() - m_startedAt) / PopularTime;
    const auto popular = static_cast<std::size_t>(period) * 3 % (ExpertsPerLayer - 2);
    for (std::size_t layer = 0; layer < Layers; ++layer) {
        for (std::size_t expert = 0; expert < ExpertsPerLayer; ++expert) {
            const bool isPopular = expert == popular || expert == popular + 2;
            rank.counts[static_cast<std::size_t>(layer * ExpertsPerLayer + expert)]
                += isPopular ? PopularSelections : 1;
        }
    }
}

void EngineGroup::runStreams(EngineRank &rank)
{
    if (!rank.running.empty() && happens(m_options.preemptions)) {
        auto *const newest = rank.running.back();
        rank.running.pop_back();
        newest->readyAt = m_step + PassesToReadAgain;
        rank.waiting.push_front(newest);
    }
    while (rank.running.size() < m_options.slots && !rank.waiting.empty() && rank.waiting.front()->readyAt <= m_step) {
        auto *const stream = rank.waiting.front();
        rank.waiting.pop_front();
        rank.running.push_back(stream);
        if (!std::exchange(stream->hasRun, true)) {
            m_observers.onRun(stream->id);
        }
    }
    for (auto *const stream : rank.running) {
        ++stream->madeEvents;
        m_observers.onEvent(stream->id);
        stream->changed.notify();
    }
    rank.running.remove_if([](const EngineStream *stream) { return stream->madeEvents >= stream->lastEvent; });
}

Task<> EngineGroup::serve(std::size_t rank, HttpExchange &exchange)
{
    const std::string target(exchange.request().target());
    const std::string instance(exchange.request()["Cardamomhill-Target-Instance"]);
    if (!instance.empty() && instance != m_options.name + "-" + std::to_string(rank)) {
        co_await exchange.sendAnswer(Misdirected, "", "", headersFor(exchange.request()));
    } else if (target == "/order") {
        co_await serveOrder(rank, exchange);
    } else if (target == "/report") {
        co_await sleep(randomUpTo(m_options.maxAnswerDelay));
        auto report = reportOf(rank);
        co_await exchange.sendAnswer(Ok, "application/json", std::move(report));
    } else if (target.starts_with("/picked")) {
        auto selections = selectionsOf(rank, target.find("lists") != std::string::npos);
        co_await exchange.sendAnswer(Ok, "application/json", std::move(selections));
    } else {
        co_await serveStream(m_ranks[rank], exchange);
    }
}

Task<> EngineGroup::serveOrder(std::size_t rank, HttpExchange &exchange)
{
    const auto order = Json::parse(exchange.request().body());
    ++m_orderCount;
    co_await sleep(randomUpTo(m_options.maxExecutionDelay));
    const auto status = execute(rank, order);
    if (happens(m_options.lostAnswers)) {
        co_await sleep(MaxWait);
        exchange.abort();
        co_return;
    }
    co_await sleep(randomUpTo(m_options.maxAnswerDelay));
    co_await exchange.sendAnswer(status, "application/json", "{}");
}

unsigned EngineGroup::execute(std::size_t number, const Json &order)
{
    auto &rank = m_ranks[number];
    const auto token = order.at("fencing-token").get<std::uint64_t>();
    if (token < rank.highestToken) {
        return Fenced;
    }
    rank.highestToken = token;
    if (!m_isOpen || order.value("epoch", m_epoch) != m_epoch) {
        return Conflict;
    }
    const auto operation = order.at("operation").get<std::string>();
    if (operation == "prepare") {
        return prepare(number, order);
    }
    if (operation == "hold") {
        return hold(rank, order.at("step").get<std::uint64_t>());
    }
    if (operation == "go") {
        rank.heldStep = rank.heldStep == order.at("step").get<std::uint64_t>() ? std::nullopt : rank.heldStep;
        return Ok;
    }
    const auto version = order.at("version").get<std::uint64_t>();
    if (operation == "arm") {
        return arm(rank, version, order.at("step").get<std::uint64_t>());
    }
    if (operation == "disarm") {
        const bool isArmed = rank.armed && rank.armed->version == version;
        rank.armed = isArmed ? std::nullopt : rank.armed;
        return version == rank.map.version ? Conflict : Ok;
    }
    return UnknownOrder;
}

unsigned EngineGroup::prepare(std::size_t number, const Json &order)
{
    auto &rank = m_ranks[number];
    EngineRank::Map map;
    map.version = order.at("version").get<std::uint64_t>();
    for (const auto &layer : order.at("map")) {
        map.experts.emplace_back();
        for (const auto &experts : layer) {
            map.experts.back().push_back(experts.get<std::set<int>>());
        }
    }
    if (rank.prepared && rank.prepared->version == map.version) {
        return Ok;
    }
    if (map.version <= rank.highestVersion || rank.armed) {
        return Conflict;
    }
    std::int64_t copies = 0;
    for (std::size_t layer = 0; layer < map.experts.size(); ++layer) {
        const auto &held = rank.map.experts[layer][number];
        const auto &wanted = map.experts[layer][number];
        const auto added
            = std::count_if(wanted.begin(), wanted.end(), [&held](int expert) { return !held.contains(expert); });
        if (added > SpareReplicas) {
            return Conflict;
        }
        copies += added;
    }
    rank.highestVersion = map.version;
    rank.prepared = std::move(map);
    rank.copiedAt = steadyNow() + copies * CopyTime;
    return Accepted;
}

unsigned EngineGroup::arm(EngineRank &rank, std::uint64_t version, std::uint64_t step) const
{
    const bool isPrepared = rank.prepared && rank.prepared->version == version && steadyNow() >= rank.copiedAt;
    if (!isPrepared || step <= m_step) {
        return Conflict;
    }
    rank.armed = EngineRank::Armed{version, step};
    return Accepted;
}

unsigned EngineGroup::hold(EngineRank &rank, std::uint64_t step) const
{
    if (step <= m_step || (rank.heldStep && *rank.heldStep != step)) {
        return Conflict;
    }
    const bool isHeld = rank.heldStep.has_value();
    rank.heldStep = step;
    return isHeld ? Ok : Accepted;
}

nlohmann::json EngineGroup::membershipOf(std::size_t rank) const
{
    return {{"name", m_options.name}, {"epoch", m_epoch}, {"rank", rank}, {"state", m_isOpen ? "open" : "forming"}};
}

std::string EngineGroup::reportOf(std::size_t number) const
{
    const auto &rank = m_ranks[number];
    Json report{{"group", membershipOf(number)},
                {"size", m_ranks.size()},
                {"step", m_step},
                {"map", rank.map.version},
                {"num-running", rank.running.size()},
                {"num-waiting", rank.waiting.size()},
                {"pace", 1.0}};
    if (rank.prepared && steadyNow() >= rank.copiedAt) {
        report["prepared"] = rank.prepared->version;
    }
    if (rank.armed) {
        report["armed"] = {{"version", rank.armed->version}, {"step", rank.armed->step}};
    }
    if (rank.heldStep) {
        report["held"] = *rank.heldStep;
    }
    return report.dump();
}

std::string EngineGroup::selectionsOf(std::size_t number, bool withLists) const
{
    const auto &rank = m_ranks[number];
    Json selections{{"step", m_step}, {"epoch", m_epoch}};
    if (!withLists) {
        selections["counts"] = rank.counts;
        return selections.dump();
    }
    auto experts = Json::array();
    for (const auto &layer : rank.map.experts) {
        experts.push_back(layer[number]);
    }
    selections["map"] = {{"version", rank.map.version}, {"experts", experts}};
    return selections.dump();
}

Task<> EngineGroup::serveStream(EngineRank &rank, HttpExchange &exchange)
{
    if (!m_isOpen || rank.running.size() + rank.waiting.size() >= m_options.slots + m_options.queue) {
        auto headers = headersFor(exchange.request());
        headers.emplace_back("Cardamomhill-Not-Executed", "1");
        if (m_isDown) {
            co_await sleep(RefusalDelay);
        }
        co_await exchange.sendAnswer(Unavailable, "", "", std::move(headers));
        co_return;
    }
    EngineStream stream(m_context);
    stream.id = std::string(exchange.request()["Cardamomhill-Request-Id"]);
    stream.madeEvents = numberIn(exchange.request(), "Last-Event-Id", 0);
    stream.lastEvent = numberIn(exchange.request(), "X-Events", 1);
    rank.waiting.push_back(&stream);
    exchange.watchDisconnect([&stream] {
        stream.isAbandoned = true;
        stream.changed.notify();
    });
    const bool isWhole = co_await sendEvents(stream, exchange);
    exchange.stopWatching();
    rank.waiting.remove(&stream);
    rank.running.remove(&stream);
    if (isWhole) {
        m_observers.onAnswered(stream.id);
        // A stream that is resumed after its last event has only a head.
        if (!exchange.hasAnswerBegun()) {
            co_await beginStream(exchange);
        }
        co_await exchange.endChunkedAnswer();
    } else {
        exchange.abort();
    }
}

Task<bool> EngineGroup::beginStream(HttpExchange &exchange)
{
    auto headers = headersFor(exchange.request());
    headers.emplace_back("Cardamomhill-Response-Seal", "seal");
    co_return co_await exchange.beginChunkedAnswer(Ok, "text/event-stream", std::move(headers));
}

Task<bool> EngineGroup::sendEvents(EngineStream &stream, HttpExchange &exchange)
{
    bool isOpen = true;
    for (int sent = stream.madeEvents; sent < stream.lastEvent;) {
        co_await stream.changed.waitUntil(steadyNow() + MaxWait);
        if (stream.isAbandoned) {
            co_return false;
        }
        if (!exchange.hasAnswerBegun() && sent < stream.madeEvents) {
            isOpen = co_await beginStream(exchange);
        }
        while (isOpen && sent < stream.madeEvents) {
            const auto event = eventText(++sent);
            isOpen = co_await exchange.sendChunk(event);
        }
        if (!isOpen) {
            co_return false;
        }
    }
    co_return true;
}

} // namespace Cardamomhill

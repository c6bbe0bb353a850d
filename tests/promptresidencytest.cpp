#include "traffic/promptresidency.h"
#include "support/promptcalls.h"
#include "support/spreadsimulation.h"
#include "traffic/servermemory.h"
#include "traffic/servertable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const ServiceId Service("s");
const BackendServerId A("a");
const BackendServerId B("b");
constexpr ServerMemory Ample{310'000, 787, 138, 0};

DiscoveredServer engine(const std::string &id, std::uint64_t startedAt = 1)
{
    DiscoveredServer server;
    server.id = BackendServerId(id);
    server.service = Service;
    server.address = "10.0.0.1:80";
    server.failureDomain = FailureDomainId("d1");
    server.slots = 10;
    server.startedAt = startedAt;
    server.groupMembership = GroupMembership{GroupId("g-" + id), 1, 0, 1, true};
    return server;
}

/// Servers of one service whose prompts and calls begin and end together.
class Fleet
{
public:
    explicit Fleet(const std::vector<std::string> &ids, ServerTableOptions options = {})
        : table(options)
    {
        for (const auto &id : ids) {
            table.apply({{engine(id)}, {}});
        }
    }

    PromptResidency::Ticket start(const BackendServerId &id, const PromptReuse &reuse)
    {
        const auto ticket = table.recordPromptStarted(id, reuse, Start);
        table.recordCallStarted(id);
        return ticket;
    }

    void end(const BackendServerId &id, PromptResidency::Ticket ticket)
    {
        table.recordPromptEnded(ticket, AttemptEnd::Delivered);
        table.recordCallEnded(id, AttemptEnd::Delivered, Start);
    }

    /// Calls whose prompts nobody shares.
    void startOthers(const BackendServerId &id, int calls)
    {
        for (int i = 0; i < calls; ++i) {
            table.recordCallStarted(id);
        }
    }

    ServerChoice choose(const PromptReuse &reuse, std::vector<BackendServerId> tried = {}, std::uint64_t seed = 1) const
    {
        Random random(seed);
        return table.choose({Service, std::move(tried), {}, reuse}, Start, random);
    }

    ServerTable table;
};

PromptReuse longCall()
{
    return promptCall({{"beginning", 4000}}, 300);
}

PromptReuse shortCall()
{
    return promptCall({{"beginning", 40}}, 747);
}

PromptOutline outline(const std::vector<PromptPart> &shared, std::uint32_t ownTokens = 100)
{
    return promptCall(shared, ownTokens).prompt;
}

/// The prompt of a call in a crowd. Three in ten begin with the same tokens.
template<std::uint32_t Tokens>
PromptReuse popularCall(Random &random)
{
    constexpr double PopularShare = 0.3;
    const bool isPopular = std::bernoulli_distribution(PopularShare)(random);
    return isPopular ? promptCall({{"popular", Tokens}}, 300) : promptCall({}, 787);
}

/// All calls begin with the same 40 tokens.
PromptReuse commonCall(Random & /*random*/)
{
    return promptCall({{"common", 40}}, 747);
}

/// Three in ten calls belong to one of 30 sessions.
PromptReuse sessionCall(Random &random)
{
    const auto number = random() % 100;
    return number < 30 ? promptCall({{std::to_string(number), 4000}}, 300) : promptCall({}, 787);
}

/// A large fleet of entry hosts with 70% and with 92% of the slots in use, and a small one with 70%.
const std::vector<SpreadWorkload> Workloads{{53, 72, 10, 253, 2.0}, {53, 72, 10, 330, 2.0}, {3, 12, 10, 42, 2.0}};

/// Results of several plays together.
SpreadResult simulate(SpreadWorkload workload, PromptReuse (*prompt)(Random &), PromptKnowledge knowledge)
{
    constexpr std::uint64_t Plays = 3;
    workload.prompt = prompt;
    workload.knowledge = knowledge;
    SpreadResult sum;
    for (std::uint64_t seed = 1; seed <= Plays; ++seed) {
        const auto result = SpreadSimulation(workload, {}, seed).run(Seconds(4), Seconds(30));
        sum.calls += result.calls;
        sum.refused += result.refused;
        sum.queued += result.queued;
        sum.mostCallsAtServer = std::max(sum.mostCallsAtServer, result.mostCallsAtServer);
        sum.chosenForPrompt += result.chosenForPrompt;
        sum.heldTokens += result.heldTokens;
        sum.firstEventMs += result.firstEventMs;
    }
    return sum;
}

double meanFirstEventMs(const SpreadResult &result)
{
    return result.firstEventMs / static_cast<double>(result.calls - result.refused);
}

} // namespace

TEST_CASE("4,000 held tokens are worth the slower steps at a server with one more call, but not its queue")
{
    Fleet fleet({"a", "b"});
    fleet.start(A, longCall());
    const auto choice = fleet.choose(longCall());
    CHECK(choice.server == A);
    CHECK(choice.reason == ChoiceReason::HoldsPrompt);
    CHECK(choice.heldTokens == 4000);
    // Reading 4,000 tokens takes 65 ms, a slot that becomes free among 10 about 140 ms.
    fleet.startOthers(A, 11);
    const auto other = fleet.choose(longCall());
    CHECK(other.server == B);
    CHECK(other.reason == ChoiceReason::LeastLoaded);
    CHECK(other.heldTokens == 0);
    // With as long a queue at the other server it is worth reading less.
    fleet.startOthers(B, 12);
    CHECK(fleet.choose(longCall()).server == A);
}

TEST_CASE("40 held tokens are worth no call more at their server, whether it runs or waits")
{
    Fleet fleet({"a", "b"});
    fleet.start(A, shortCall());
    for (int calls = 1; calls < 15; ++calls) {
        CAPTURE(calls);
        for (std::uint64_t seed = 1; seed < 10; ++seed) {
            CHECK(fleet.choose(shortCall(), {}, seed).server == B);
        }
        fleet.startOthers(A, 1);
        fleet.startOthers(B, 1);
    }
}

TEST_CASE("a prompt is held only while a call with it runs, unless engines cache prompts until others need the space")
{
    ServerTableOptions options;
    Fleet running({"a", "b"}, options);
    running.end(A, running.start(A, longCall()));
    CHECK(running.choose(longCall()).heldTokens == 0);
    options.prompts.retention = PromptRetention::Cached;
    Fleet cached({"a", "b"}, options);
    cached.end(A, cached.start(A, longCall()));
    CHECK(cached.choose(longCall()).server == A);
    CHECK(cached.choose(longCall()).heldTokens == 4000);
    // 310,000 other tokens, with 138 for each answer.
    for (int i = 0; i < 30; ++i) {
        cached.end(A, cached.start(A, promptCall({{"other", 1}, {std::to_string(i), 9900}}, 100)));
    }
    CHECK(cached.choose(longCall()).heldTokens == 4000);
    for (int i = 30; i < 32; ++i) {
        cached.end(A, cached.start(A, promptCall({{"other", 1}, {std::to_string(i), 9900}}, 100)));
    }
    CHECK(cached.choose(longCall()).heldTokens == 0);
}

TEST_CASE("a prompt that was never read is not cached")
{
    PromptResidency residency({PromptRetention::Cached});
    const auto prompt = outline({{"p", 1000}});
    residency.recordEnded(residency.recordStarted(A, prompt, Ample), false);
    CHECK(residency.heldTokens(A, prompt, Ample) == 0);
    CHECK(residency.size() == 0);
}

TEST_CASE("calls of other hosts evict cached prompts too")
{
    PromptResidency residency({PromptRetention::Cached});
    const auto prompt = outline({{"p", 1000}});
    residency.recordEnded(residency.recordStarted(A, prompt, Ample), true);
    auto crowded = Ample;
    crowded.calls = 49;
    // Each of these stands for 50 calls of 1,000 tokens and an answer.
    for (int i = 0; i < 7; ++i) {
        CHECK(residency.heldTokens(A, prompt, Ample) == (i < 6 ? 1000 : 0));
        residency.recordEnded(residency.recordStarted(A, outline({{std::to_string(i), 900}}), crowded), true);
    }
}

TEST_CASE("if most calls of this host begin alike, servers with calls of others are expected to hold that beginning")
{
    PromptResidency residency;
    const auto popular = outline({{"popular", 1000}});
    const auto rare = outline({{"rare", 1000}});
    residency.recordStarted(A, rare, Ample);
    for (int i = 0; i < 9; ++i) {
        residency.recordStarted(A, popular, Ample);
    }
    auto others = Ample;
    CHECK(residency.heldTokens(B, popular, others) == 0);
    others.calls = 1;
    // Eight of the nine other calls.
    CHECK(residency.heldTokens(B, popular, others) == 888);
    others.calls = 5;
    CHECK(residency.heldTokens(B, popular, others) == 999);
    CHECK(residency.heldTokens(B, rare, others) == 0);
    CHECK(residency.heldTokens(B, outline({{"unknown", 1000}}), others) == 0);
    others.calls = 400;
    CHECK(residency.heldTokens(B, popular, others) == 0);
}

TEST_CASE("nothing counts as held at a server whose memory is exceeded")
{
    auto small = promptEngine();
    small.kvCacheTokens = 10'000;
    const auto call = promptCall({{"beginning", 4000}}, 300, small);
    Fleet fleet({"a", "b"});
    fleet.start(A, call);
    CHECK(fleet.choose(call).heldTokens == 4000);
    SUBCASE("by calls of this host")
    {
        fleet.start(A, promptCall({{"another", 5000}}, 300, small));
    }
    SUBCASE("by calls that are known only by their number")
    {
        fleet.table.setPeerLoads({{serverKey(A), 7}, {serverKey(B), 7}});
    }
    CHECK(fleet.choose(call).server == B);
    CHECK(fleet.choose(call, {B}).heldTokens == 0);
}

TEST_CASE("a restarted or removed server holds nothing, and the end of an earlier call there changes nothing")
{
    Fleet fleet({"a", "b"});
    const auto ticket = fleet.start(A, longCall());
    SUBCASE("restarted")
    {
        fleet.table.apply({{engine("a", 2)}, {}});
    }
    SUBCASE("removed and back")
    {
        fleet.table.apply({{}, {A}});
        fleet.table.apply({{engine("a")}, {}});
    }
    CHECK(fleet.choose(longCall()).server == B);
    CHECK(fleet.choose(longCall(), {B}).heldTokens == 0);
    fleet.start(A, longCall());
    fleet.end(A, ticket);
    CHECK(fleet.choose(longCall()).heldTokens == 4000);
}

TEST_CASE("a server that cannot take a call or is avoided is not taken for what it holds")
{
    Fleet fleet({"a", "b", "c"});
    fleet.start(A, longCall());
    std::vector<BackendServerId> tried;
    REQUIRE(fleet.choose(longCall()).server == A);
    SUBCASE("full")
    {
        fleet.startOthers(A, 15);
    }
    SUBCASE("tried")
    {
        tried = {A};
    }
    SUBCASE("leaving")
    {
        fleet.table.recordLeaving(processOf(engine("a")), Start);
    }
    SUBCASE("held")
    {
        fleet.table.recordHold(processOf(engine("a")), Seconds(1), Start);
    }
    SUBCASE("unreachable")
    {
        auto moved = engine("a");
        moved.failureDomain = FailureDomainId("d2");
        fleet.table.apply({{moved}, {}});
        REQUIRE(fleet.choose(longCall()).server == A);
        fleet.table.setUnreachable({FailureDomainId("d2")}, Start);
    }
    SUBCASE("slow")
    {
        fleet.table.setSlowdownFactors({{serverKey(A), 1.6F}});
    }
    SUBCASE("failing")
    {
        for (int i = 0; i < 2; ++i) {
            fleet.table.recordCallStarted(A);
            fleet.table.recordCallEnded(A, AttemptEnd::Broken, Start);
        }
    }
    const auto choice = fleet.choose(longCall(), tried);
    CHECK(choice.server != A);
    CHECK(choice.heldTokens == 0);
    CHECK(choice.reason == ChoiceReason::LeastLoaded);
}

TEST_CASE("the server that holds most of a prompt is always compared, beside as many others as without it")
{
    constexpr int Servers = 100;
    std::vector<std::string> ids;
    ids.reserve(Servers);
    for (int i = 0; i < Servers; ++i) {
        ids.push_back("s" + std::to_string(i));
    }
    Fleet fleet(ids);
    const std::vector<PromptPart> parts{{"x", 2000}, {"y", 3000}};
    fleet.start(BackendServerId("s7"), promptCall({parts[0]}, 100));
    fleet.start(BackendServerId("s8"), promptCall(parts, 100));
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto choice = fleet.choose(promptCall(parts, 100), {}, seed);
        CHECK(choice.server == BackendServerId("s8"));
        CHECK(choice.heldTokens == 5000);
        CHECK(choice.candidates == ServerTableOptions().sampledServers + 1);
        // The next best is taken once the first was tried.
        CHECK(fleet.choose(promptCall(parts, 100), {BackendServerId("s8")}, seed).heldTokens == 2000);
        CHECK(fleet.choose(promptCall({{"z", 2000}, parts[1]}, 100), {}, seed).heldTokens == 0);
        CHECK(fleet.choose(promptCall({{"x", 1999}, parts[1]}, 100), {}, seed).heldTokens == 0);
    }
}

TEST_CASE("without held tokens servers are ordered exactly as by their calls, failures and slowness")
{
    CHECK(rc::check("order", [] {
        ServerTableOptions options;
        options.sampledServers = *rc::gen::inRange(1, 12);
        ServerTable table(options);
        SlowdownFactors factors;
        const int servers = *rc::gen::inRange(1, 10);
        for (int i = 0; i < servers; ++i) {
            auto server = engine(std::to_string(i));
            server.slots = *rc::gen::inRange<std::uint32_t>(1, 14);
            table.apply({{server}, {}});
            const int calls = *rc::gen::inRange(0, 12);
            for (int call = 0; call < calls; ++call) {
                table.recordCallStarted(server.id);
            }
            if (*rc::gen::arbitrary<bool>()) {
                factors[serverKey(server.id)] = static_cast<float>(*rc::gen::inRange(1000, 1600)) / 1000;
            }
            for (int failures = *rc::gen::inRange(0, 3); failures > 0; --failures) {
                table.recordCallStarted(server.id);
                table.recordCallEnded(server.id, AttemptEnd::NotRun, Start - Milliseconds(failures * 137));
            }
        }
        table.setSlowdownFactors(factors);
        auto profile = promptEngine();
        profile.slots = *rc::gen::inRange<std::uint32_t>(1, 14);
        profile.stepMsPerRequest = *rc::gen::element(1e-15, 0.426, 10.0);
        profile.prefillMsPerMillionPairs = *rc::gen::element(0.0, 2.0);
        const auto tokens = *rc::gen::element<std::uint32_t>(0, 700, 4'000'000'000U);
        ServerQuery plain{Service, {}, {}};
        ServerQuery withPrompt{Service, {}, {}, promptCall({{"p", tokens}}, tokens, profile)};
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        while (true) {
            Random plainRandom(seed);
            Random promptRandom(seed);
            const auto expected = table.choose(plain, Start, plainRandom);
            const auto choice = table.choose(withPrompt, Start, promptRandom);
            RC_ASSERT(choice.server == expected.server);
            RC_ASSERT(choice.reason == expected.reason);
            RC_ASSERT(choice.candidates == expected.candidates);
            RC_ASSERT(choice.heldTokens == 0U);
            if (!choice.hasServer()) {
                break;
            }
            plain.tried.push_back(choice.server);
            withPrompt.tried.push_back(choice.server);
        }
    }));
}

TEST_CASE("what is held is the longest prefix of any call in progress, in any order of beginnings and ends")
{
    CHECK(rc::check("model", [] {
        PromptResidency residency;
        std::map<PromptResidency::Ticket, std::pair<std::string, PromptOutline>> running;
        const auto genPrompt = [] {
            const auto ids = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2));
            std::vector<PromptPart> parts;
            for (std::size_t i = 0; i < std::min<std::size_t>(ids.size(), 4); ++i) {
                parts.push_back({std::to_string(ids[i]), static_cast<std::uint32_t>(10 * ids[i] + 1)});
            }
            return outline(parts);
        };
        for (int action = *rc::gen::inRange(0, 40); action > 0; --action) {
            const auto server = *rc::gen::element<std::string>("a", "b");
            const int kind = *rc::gen::inRange(0, 20);
            if (kind == 0) {
                residency.forget(BackendServerId(server));
                std::erase_if(running, [&](const auto &call) { return call.second.first == server; });
            } else if (kind < 8 && !running.empty()) {
                residency.recordEnded(running.begin()->first, true);
                running.erase(running.begin());
            } else {
                const auto prompt = genPrompt();
                if (const auto ticket = residency.recordStarted(BackendServerId(server), prompt, Ample)) {
                    running[ticket] = {server, prompt};
                }
            }
            const auto asked = genPrompt();
            std::uint64_t expected = 0;
            for (const auto &[ticket, call] : running) {
                for (std::size_t i = 0; i < std::min(asked.prefixes.size(), call.second.prefixes.size()); ++i) {
                    if (call.first == server && call.second.prefixes[i] == asked.prefixes[i]) {
                        expected = std::max(expected, asked.prefixes[i].tokens);
                    }
                }
            }
            RC_ASSERT(residency.heldTokens(BackendServerId(server), asked, Ample) == expected);
            Random random(1);
            const auto holders = residency.holders(asked, 8, random);
            RC_ASSERT((std::find(holders.begin(), holders.end(), BackendServerId(server)) != holders.end())
                      == (expected > 0));
        }
        for (const auto &[ticket, call] : running) {
            residency.recordEnded(ticket, true);
        }
        RC_ASSERT(residency.size() == 0U);
    }));
}

TEST_CASE("the memory for prompts is bounded, whatever calls send, and is free for others after their ends")
{
    for (const auto retention : {PromptRetention::Running, PromptRetention::Cached}) {
        CAPTURE(nameOf(retention));
        PromptResidency residency({retention, 100, 50});
        std::vector<PromptResidency::Ticket> tickets;
        for (int i = 0; i < 2000; ++i) {
            const BackendServerId server(std::to_string(i % 7));
            const auto id = std::to_string(i);
            tickets.push_back(residency.recordStarted(
                server, outline({{"common", 10}, {id, 4'000'000'000U}, {id, 1}, {id, 1}}), Ample));
            CHECK(residency.size() <= 100);
            if (retention == PromptRetention::Cached && i % 2 == 0) {
                residency.recordEnded(tickets.back(), true);
            }
        }
        // Of the followed calls 50 do not end; with cached prompts, as many others have ended until then.
        CHECK(std::count(tickets.begin(), tickets.end(), 0) == (retention == PromptRetention::Running ? 1950 : 1900));
        for (const auto ticket : tickets) {
            residency.recordEnded(ticket, true);
        }
        CHECK(residency.size() <= 100);
        const auto later = outline({{"later", 500}});
        residency.recordStarted(A, later, Ample);
        CHECK(residency.heldTokens(A, later, Ample) == 500);
    }
}

TEST_CASE("the servers of a popular beginning are not overloaded by it")
{
    for (const auto &workload : Workloads) {
        CAPTURE(workload.hosts);
        CAPTURE(workload.callsPerSecond);
        const auto plain = simulate(workload, popularCall<4000>, PromptKnowledge::None);
        const auto shared = simulate(workload, popularCall<4000>, PromptKnowledge::OwnCalls);
        CHECK(shared.chosenForPrompt > 0);
        CHECK(shared.refused == 0);
        CHECK(static_cast<double>(shared.queued)
              < static_cast<double>(plain.queued) + 0.01 * static_cast<double>(shared.calls));
        CHECK(shared.mostCallsAtServer <= plain.mostCallsAtServer + 2);
        CHECK(meanFirstEventMs(shared) < 1.02 * meanFirstEventMs(plain));
    }
}

TEST_CASE("a beginning of 40 tokens changes no choice in a crowd, however many calls share it")
{
    for (const auto &workload : Workloads) {
        for (auto *prompt : {popularCall<40>, commonCall}) {
            const auto plain = simulate(workload, prompt, PromptKnowledge::None);
            const auto shared = simulate(workload, prompt, PromptKnowledge::OwnCalls);
            CHECK(shared.chosenForPrompt == 0);
            CHECK(shared.queued == plain.queued);
            CHECK(shared.firstEventMs == plain.firstEventMs);
        }
    }
}

TEST_CASE("callers with long prompts that few others share get their first events sooner")
{
    for (const auto &workload : Workloads) {
        CAPTURE(workload.hosts);
        CAPTURE(workload.callsPerSecond);
        const auto plain = simulate(workload, sessionCall, PromptKnowledge::None);
        const auto shared = simulate(workload, sessionCall, PromptKnowledge::OwnCalls);
        CHECK(static_cast<double>(shared.heldTokens) > 1.4 * static_cast<double>(plain.heldTokens));
        CHECK(meanFirstEventMs(shared) < meanFirstEventMs(plain));
    }
}

#include "execution/execution.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

const OrganisationId shop("tambor-shop");
constexpr Milliseconds lifetime{100'000};
constexpr ExecutionLimits wideLimits{1'000, 100'000, 100};

WallTime wall(std::int64_t milliseconds)
{
    return WallTime(Milliseconds(1'700'000'000'000 + milliseconds));
}

/// A key of slot 3 with the given time; different seeds give different keys.
IdempotencyKey keyAt(std::int64_t milliseconds, std::uint64_t seed = 1)
{
    Random random(seed);
    return IdempotencyKey::generate(shop, SlotSet(1U << 3U), wall(milliseconds), random).value();
}

ExecutionRequest requestAt(std::int64_t milliseconds, std::uint64_t seed = 1)
{
    return {shop, keyAt(milliseconds, seed), 7};
}

/// A registry that has served slot 3 since time -2,000, so that the floor of the slot is time 0.
ExecutionRegistry servingRegistry(const ExecutionLimits &limits = wideLimits)
{
    ExecutionRegistry registry(limits, ClockBounds{}, lifetime);
    REQUIRE(registry.serveWithoutRecords(3, wall(-2'000)).has_value());
    return registry;
}

std::string decisionOf(ExecutionRegistry &registry, const ExecutionRequest &request, std::int64_t now)
{
    const Decision decision = registry.decide(request, wall(now));
    return std::string(nameOf(decision.kind)) + " " + std::string(nameOf(decision.reason));
}

SlotTableErrorCode errorOf(const nlohmann::json &value)
{
    const auto table = SlotTable::fromJson(value, 1);
    REQUIRE(table.has_error());
    return table.error().code;
}

} // namespace

TEST_CASE("idempotency keys parse the example of RFC 9562 and reject other text")
{
    const std::string example = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    const auto key = IdempotencyKey::parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    REQUIRE(key.has_value());
    CHECK(key.value().toString() == example);
    CHECK(key.value().time() == WallTime(Milliseconds(1'645'557'742'000)));
    // The slot must not change between releases, since agents of different releases share a slot table.
    CHECK(key.value().slot(shop) == 193);

    for (const char *text : {"",
                             "017f22e2",
                             "{17f22e2-79b0-7cc3-98c4-dc0c0c07398}",
                             "017f22e279b0-7cc3-98c4-dc0c0c07398fab",
                             "017f22e2-79b0-7cc3-98c4-dc0c0c0739zz",
                             "017f22e2-79b0-7cc3-98c4-dc0c0c07398f "}) {
        CAPTURE(std::string(text));
        REQUIRE(IdempotencyKey::parse(text).has_error());
        CHECK(IdempotencyKey::parse(text).error().code == KeyErrorCode::NotUuid);
    }
    CHECK(IdempotencyKey::parse("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").error().code == KeyErrorCode::NotVersion7);
    CHECK(IdempotencyKey::parse("017f22e2-79b0-7cc3-18c4-dc0c0c07398f").error().code == KeyErrorCode::NotVersion7);
}

TEST_CASE("generated keys have the requested slot and time")
{
    CHECK(rc::check("generate, format and parse", [] {
        const auto slots = *rc::gen::nonEmpty(rc::gen::arbitrary<std::set<SlotNumber>>());
        const auto milliseconds = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 48);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        SlotSet set;
        for (const SlotNumber slot : slots) {
            set.set(slot);
        }
        const auto key = IdempotencyKey::generate(shop, set, WallTime(Milliseconds(milliseconds)), random).value();
        RC_ASSERT(set.test(key.slot(shop)));
        RC_ASSERT(key.time() == WallTime(Milliseconds(milliseconds)));
        RC_ASSERT(IdempotencyKey::parse(key.toString()).value() == key);
    }));
    Random random(1);
    CHECK(IdempotencyKey::generate(shop, {}, wall(0), random).error().code == KeyErrorCode::NoSlot);
    CHECK(IdempotencyKey::generate(shop, SlotSet(1), WallTime(Milliseconds(-1)), random).error().code
          == KeyErrorCode::TimeOutOfRange);
}

TEST_CASE("a slot table is unchanged by JSON, stays small and is rebalanced without retired owners")
{
    std::vector<BackendServerId> owners;
    for (std::size_t index = 0; index < slotCount; ++index) {
        owners.emplace_back("backend-server-with-a-long-name-" + std::to_string(index));
    }
    auto table = SlotTable::create(owners, OperationId("first")).value();
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        const OperationId operation("0123456789abcdef0123456789abcd" + std::to_string(slot));
        table.assign(static_cast<SlotNumber>(slot), owners[255 - slot], SlotEntryState::Owned, operation);
        table.setOperation(operation);
    }
    const std::string text = table.toJson().dump();
    // The platform accepts values up to 1 MB.
    CHECK(text.size() < 30'000);
    const auto copy = SlotTable::fromJson(nlohmann::json::parse(text), 12).value();
    CHECK(copy.version() == 12);
    CHECK(copy.toJson() == table.toJson());
    CHECK(copy.entry(0) == table.entry(0));
    CHECK(copy.entry(0).generation == 2);
    CHECK(copy.previousOperations().size() == 8);

    const auto reduced = copy.withoutRetired({owners[0]}, {owners[0], owners[1]}, OperationId("retire")).value();
    CHECK(reduced.slotsOwnedBy(owners[0]).none());
    CHECK(reduced.slotsOwnedBy(owners[1]).count() == 2);
    CHECK(reduced.entry(255).state == SlotEntryState::Assigned);
    CHECK(reduced.entry(255).generation == 3);
    CHECK(copy.withoutRetired({owners[0]}, {owners[0]}, OperationId("x")).error().code == SlotTableErrorCode::NoOwner);
}

TEST_CASE("a copy of a slot table without the fields that only writers need keeps its rows")
{
    const auto table = SlotTable::create({BackendServerId("a"), BackendServerId("b")}, OperationId("o")).value();
    auto json = table.toJson();
    json.erase("operation");
    json.erase("previousOperations");
    const auto copy = SlotTable::fromExchangedJson(json.dump());
    REQUIRE(copy.has_value());
    CHECK(copy.value().slotsOwnedBy(BackendServerId("b")) == table.slotsOwnedBy(BackendServerId("b")));
    CHECK(copy.value().version() == 0);
    CHECK(SlotTable::fromExchangedJson("no json").error().code == SlotTableErrorCode::NotAnObject);
}

TEST_CASE("mistakes in a slot table are reported by error codes")
{
    const nlohmann::json good = SlotTable::create({BackendServerId("a")}, OperationId("first")).value().toJson();
    auto changed = [&](const std::string &pointer, const nlohmann::json &value) {
        nlohmann::json copy = good;
        copy[nlohmann::json::json_pointer(pointer)] = value;
        return errorOf(copy);
    };
    CHECK(errorOf(nlohmann::json::array()) == SlotTableErrorCode::NotAnObject);
    CHECK(errorOf(nlohmann::json::object()) == SlotTableErrorCode::MissingField);
    CHECK(changed("/shard", 1) == SlotTableErrorCode::UnknownField);
    CHECK(changed("/owners", "a") == SlotTableErrorCode::WrongType);
    CHECK(changed("/owners/0", "") == SlotTableErrorCode::EmptyName);
    CHECK(changed("/slots", {1}) == SlotTableErrorCode::WrongCount);
    CHECK(changed("/slots/9", {0, "assigned", 1}) == SlotTableErrorCode::WrongCount);
    CHECK(changed("/slots/9/0", 1U) == SlotTableErrorCode::OutOfRange);
    CHECK(changed("/slots/9/0", -1) == SlotTableErrorCode::WrongType);
    CHECK(changed("/slots/9/1", "lost") == SlotTableErrorCode::UnknownState);
    CHECK(changed("/slots/9/3", 7U) == SlotTableErrorCode::OutOfRange);
    CHECK(SlotTable::fromJson(nlohmann::json::parse(R"({"slots":[]})"), 1).error().message()
          == "slot table: operation: missing field");
}

TEST_CASE("the registry applies its rules in order")
{
    ExecutionRegistry registry = servingRegistry({2, 300, 100});
    CHECK(decisionOf(registry, requestAt(2'001), 1'000) == "rejected key-time-ahead");
    CHECK(decisionOf(registry, requestAt(0), 10) == "unknown key-time-below-floor");
    CHECK(decisionOf(registry, requestAt(10), 100'010) == "unknown lifetime-ended");
    CHECK(decisionOf(registry, requestAt(10), 10) == "execute new-key");
    CHECK(decisionOf(registry, requestAt(10), 20) == "wait record-exists");
    CHECK(decisionOf(registry, {shop, keyAt(10), 8}, 20) == "digest-mismatch record-exists");
    REQUIRE(registry.complete(shop, keyAt(10), "paid").has_value());
    CHECK(registry.complete(shop, keyAt(10), "paid").error().code == ExecutionErrorCode::NotRunning);
    CHECK(registry.decide(requestAt(10), wall(20)).answer == "paid");

    CHECK(decisionOf(registry, requestAt(30), 30) == "execute new-key");
    REQUIRE(registry.completeUnknown(shop, keyAt(30)).has_value());
    CHECK(decisionOf(registry, requestAt(30), 30) == "unknown execution-failed");
    // The registry is full: the refusal also covers older keys without a record, but no key with one.
    CHECK(decisionOf(registry, requestAt(50), 50) == "not-run registry-full");
    CHECK(decisionOf(registry, requestAt(40), 50) == "not-run refused-earlier");
    CHECK(decisionOf(registry, requestAt(10), 50) == "replay record-exists");
    // There is room again: the refused keys stay refused, newer ones run, and the oldest key has raised the floor.
    CHECK(decisionOf(registry, requestAt(50), 100'011) == "not-run refused-earlier");
    CHECK(decisionOf(registry, requestAt(100'000), 100'011) == "execute new-key");
    CHECK(decisionOf(registry, requestAt(10), 100'011) == "unknown key-time-below-floor");
}

TEST_CASE("running requests reserve room for their answers and long answers are not kept")
{
    ExecutionRegistry registry = servingRegistry({100, 250, 100});
    CHECK(decisionOf(registry, requestAt(10), 10) == "execute new-key");
    CHECK(decisionOf(registry, requestAt(20), 20) == "execute new-key");
    CHECK(decisionOf(registry, requestAt(30), 30) == "not-run registry-full");
    REQUIRE(registry.complete(shop, keyAt(10), std::string(101, 'x')).has_value());
    REQUIRE(registry.complete(shop, keyAt(20), "short").has_value());
    CHECK(registry.answerBytes() == 5);
    CHECK(decisionOf(registry, requestAt(10), 40) == "replay answer-not-kept");
    CHECK(decisionOf(registry, requestAt(40), 40) == "execute new-key");
    CHECK(registry.removeExpired(wall(200'000), 100) == 2);
    CHECK(registry.answerBytes() == 100);
}

TEST_CASE("within a run, no clock step back makes a dropped key run again")
{
    ExecutionRegistry registry = servingRegistry();
    CHECK(decisionOf(registry, requestAt(50'000), 50'000) == "execute new-key");
    REQUIRE(registry.complete(shop, keyAt(50'000), "paid").has_value());
    CHECK(registry.removeExpired(wall(10'000'000), 10) == 1);
    CHECK(decisionOf(registry, requestAt(50'000), 50'000) == "unknown key-time-below-floor");
    // The same holds after the slot was released and is served again without records.
    CHECK(decisionOf(registry, requestAt(60'000), 60'000) == "execute new-key");
    REQUIRE(registry.complete(shop, keyAt(60'000), "paid").has_value());
    registry.release(3);
    REQUIRE(registry.serveWithoutRecords(3, wall(1'000)).has_value());
    CHECK(decisionOf(registry, requestAt(60'000), 60'000) == "unknown key-time-below-floor");
    CHECK(decisionOf(registry, requestAt(60'001), 60'000) == "execute new-key");
}

TEST_CASE("after a restart, the floor covers a clock step back of maximumClockSkew and no more")
{
    // The first run accepts a key 1 s ahead of its clock and ends at once; the second starts at the same moment.
    const auto runsAgain = [](std::int64_t stepBack) {
        ExecutionRegistry first = servingRegistry();
        REQUIRE(first.decide(requestAt(51'000), wall(50'000)).kind == DecisionKind::Execute);
        ExecutionRegistry second(wideLimits, ClockBounds{}, lifetime);
        REQUIRE(second.serveWithoutRecords(3, wall(50'000 - stepBack)).has_value());
        return second.decide(requestAt(51'000), wall(51'000)).kind == DecisionKind::Execute;
    };
    CHECK_FALSE(runsAgain(0));
    CHECK_FALSE(runsAgain(1'000));
    CHECK(runsAgain(1'001));
}

TEST_CASE("keys refused before the export of a slot stay refused, later ones are rejected by the old owner")
{
    ExecutionRegistry owner = servingRegistry();
    CHECK(decisionOf(owner, requestAt(10), 10) == "execute new-key");
    REQUIRE(owner.seal(3).has_value());
    CHECK(decisionOf(owner, requestAt(20), 20) == "not-run slot-sealed");
    CHECK(owner.exportSlot(3).error().code == ExecutionErrorCode::NotDrained);
    REQUIRE(owner.complete(shop, keyAt(10), "paid").has_value());
    REQUIRE(owner.isDrained(3));
    const SlotExport content = owner.exportSlot(3).value();
    CHECK(decisionOf(owner, requestAt(30), 30) == "rejected slot-sealed");
    CHECK(decisionOf(owner, requestAt(10), 30) == "replay record-exists");

    ExecutionRegistry next(wideLimits, ClockBounds{}, lifetime);
    REQUIRE(next.importSlot(content).has_value());
    CHECK(decisionOf(next, requestAt(10), 30) == "rejected not-owner");
    REQUIRE(next.activate(3).has_value());
    CHECK(decisionOf(next, requestAt(10), 30) == "replay record-exists");
    CHECK(decisionOf(next, requestAt(20), 30) == "not-run refused-earlier");
    CHECK(decisionOf(next, requestAt(30), 30) == "execute new-key");
    next.refuseNewKeys();
    CHECK(decisionOf(next, requestAt(40), 40) == "not-run agent-leaving");

    ExecutionRegistry small({1, 300, 100}, ClockBounds{}, lifetime);
    CHECK(small.importSlot(content).error().code == ExecutionErrorCode::RegistryFull);
    CHECK(small.phase(3) == SlotPhase::NotOwned);
    SlotExport damaged = content;
    damaged.records.push_back(damaged.records.front());
    ExecutionRegistry strict(wideLimits, ClockBounds{}, lifetime);
    CHECK(strict.importSlot(damaged).error().code == ExecutionErrorCode::BadRecord);
    CHECK(strict.recordCount() == 0);
    CHECK(strict.floor(3) == WallTime::min());
}

} // namespace Cardamomhill

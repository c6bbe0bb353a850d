#include "objectstore/objectstoremodule.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

const ObjectKey Key{"profiles", "chat"};

// What happens to one request.
enum class Fate : std::uint8_t { Answered, Refused, LostBefore, LostAfter, Late };

// One object of the platform, with its true history.
struct FakePlatform {
    std::optional<PlatformObject> object;
    std::uint64_t revision = 0;
    std::vector<std::string> applied;
    std::deque<PutRequest> late;
    /// Seeded fault: the condition of an update is not checked.
    bool ignoresCondition = false;

    bool put(const PutRequest &request)
    {
        if (!ignoresCondition && request.expectedVersion != (object.has_value() ? object->version : 0)) {
            return false;
        }
        object = PlatformObject{request.key, ++revision, request.value};
        applied.push_back(nlohmann::json::parse(request.value).at("operation").get<std::string>());
        return true;
    }
};

struct Race {
    FakePlatform platform;
    Random random{7};
    SteadyTime now{Seconds(1)};
    std::vector<std::string> operations;
    std::vector<ConditionalWriter> writers;
    /// Seeded fault: the transport calls a request that may have arrived "not executed".
    bool reportsLossAsRefusal = false;

    void addWriter(Seconds deadline)
    {
        operations.push_back("op" + std::to_string(operations.size()));
        ConditionalChange change{Key, R"({"weight":1})", operations.back(), platform.object};
        writers.push_back(ConditionalWriter::create(std::move(change), now + deadline).value());
    }

    void reportLoss(ConditionalWriter &writer, std::uint64_t attempt)
    {
        if (reportsLossAsRefusal) {
            writer.onNotExecuted(attempt, now, random);
        } else {
            writer.onResponseLost(attempt, now, random);
        }
    }

    void put(ConditionalWriter &writer, const PutRequest &request, Fate fate)
    {
        if (fate == Fate::Refused) {
            writer.onNotExecuted(request.attempt, now, random);
        } else if (fate == Fate::LostBefore) {
            reportLoss(writer, request.attempt);
        } else if (fate == Fate::Late) {
            platform.late.push_back(request);
            reportLoss(writer, request.attempt);
        } else {
            const bool written = platform.put(request);
            if (fate == Fate::LostAfter) {
                reportLoss(writer, request.attempt);
            } else if (written) {
                writer.onWritten(platform.revision);
            } else {
                writer.onConflict(request.attempt, platform.object);
            }
        }
    }

    void step(std::size_t index, Fate fate)
    {
        auto &writer = writers.at(index);
        const auto request = writer.nextRequest(now, random);
        if (!request.has_value()) {
            return;
        }
        if (const auto *update = std::get_if<PutRequest>(&*request)) {
            put(writer, *update, fate);
        } else if (const auto attempt = std::get<GetRequest>(*request).attempt; fate == Fate::Answered) {
            writer.onRead(attempt, platform.object, now, random);
        } else {
            writer.onResponseLost(attempt, now, random);
        }
    }

    void deliverLate()
    {
        if (!platform.late.empty()) {
            platform.put(platform.late.front());
            platform.late.pop_front();
        }
    }

    // Returns what contradicts the true history, or nothing.
    std::string violation() const
    {
        for (std::size_t index = 0; index < writers.size(); ++index) {
            const auto &outcome = writers.at(index).outcome();
            const auto count = std::count(platform.applied.begin(), platform.applied.end(), operations.at(index));
            if (count > 1) {
                return "applied twice";
            }
            if (!outcome.has_value()) {
                return "no outcome after the deadline";
            }
            const bool denied
                = outcome->code == WriteOutcomeCode::Conflict || outcome->code == WriteOutcomeCode::NotApplied;
            if ((outcome->code == WriteOutcomeCode::Applied && count == 0) || (denied && count == 1)) {
                return "false outcome: " + std::string(nameOf(outcome->code));
            }
        }
        return "";
    }
};

// Operators race on one object while requests and answers are lost or late, each failure possibly repeated.
std::string runRace(bool ignoresCondition, bool reportsLossAsRefusal)
{
    Race race;
    race.platform.ignoresCondition = ignoresCondition;
    race.reportsLossAsRefusal = reportsLossAsRefusal;
    const auto count = *rc::gen::inRange<std::size_t>(20, 200);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        count,
        rc::gen::resize(rc::kNominalSize,
                        rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 5), rc::gen::inRange(0, 1500))));
    race.addWriter(Seconds(8));
    for (const auto &[action, detail, pause] : steps) {
        race.now += Milliseconds(pause);
        if (action == 0) {
            race.addWriter(Seconds(8));
        } else if (action == 1) {
            race.deliverLate();
        } else {
            const auto index = static_cast<std::size_t>(action) % race.writers.size();
            race.step(index, static_cast<Fate>(detail));
        }
    }
    race.now += Seconds(20);
    for (std::size_t index = 0; index < race.writers.size(); ++index) {
        race.step(index, Fate::Answered);
    }
    while (!race.platform.late.empty()) {
        race.deliverLate();
    }
    return race.violation();
}

} // namespace

TEST_CASE("an operator gets the true outcome although requests and responses are lost, late or racing")
{
    CHECK(rc::check("outcomes agree with the platform's history", [] { RC_ASSERT(runRace(false, false).empty()); }));
}

TEST_CASE("the check of outcomes finds seeded faults")
{
    CHECK_FALSE(rc::check("platform ignores conditions", [] { RC_ASSERT(runRace(true, false).empty()); }));
    CHECK_FALSE(rc::check("transport misreports losses", [] { RC_ASSERT(runRace(false, true).empty()); }));
}

TEST_CASE("a lost response is settled by the history of up to eight later writes and never guessed beyond it")
{
    for (const std::size_t laterWrites : {0U, 1U, 8U, 9U}) {
        Race race;
        race.addWriter(Seconds(100));
        race.addWriter(Seconds(100));
        race.step(0, Fate::LostAfter);
        for (std::size_t count = 0; count < laterWrites; ++count) {
            race.addWriter(Seconds(100));
            race.step(race.writers.size() - 1, Fate::Answered);
        }
        race.now += Seconds(10);
        race.step(0, Fate::Answered);
        const auto expected = laterWrites <= 8 ? WriteOutcomeCode::Applied : WriteOutcomeCode::Unknown;
        CHECK(race.writers.at(0).outcome()->code == expected);
        // A change based on the object before all these writes is refused, and both versions are shown.
        race.step(1, Fate::Answered);
        CHECK(race.writers.at(1).outcome()->code == WriteOutcomeCode::Conflict);
        CHECK_FALSE(race.writers.at(1).outcome()->base.has_value());
        CHECK(race.writers.at(1).outcome()->current == race.platform.object);
    }
}

TEST_CASE("a change that the platform or the history could not carry is refused with a typed error")
{
    const auto codeOf = [](const std::string &value) {
        return ConditionalWriter::create(ConditionalChange{Key, value, "op", std::nullopt}, SteadyTime()).error().code;
    };
    CHECK(codeOf("[1]") == PlatformErrorCode::NotAnObject);
    CHECK(codeOf(R"({"operation":"mine"})") == PlatformErrorCode::ReservedField);
    CHECK(codeOf(R"({"a":")" + std::string(ConditionalWriter::ValueLimit, 'x') + "\"}") == PlatformErrorCode::TooLarge);
}

} // namespace Cardamomhill

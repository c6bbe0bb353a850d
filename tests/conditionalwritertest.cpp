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
enum class Delivery : std::uint8_t { Answered, NotExecuted, RequestLost, ResponseLost, Delayed };

// One object of the platform, with the operations that were really applied to it.
struct FakePlatform {
    std::optional<PlatformObject> object;
    std::uint64_t revision = 0;
    std::vector<std::string> applied;
    std::deque<PutRequest> delayed;
    /// Injected fault: the condition of an update is not checked.
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
    /// Injected fault: a request that may have reached the platform is reported as not executed.
    bool reportsLossAsNotExecuted = false;

    void addWriter(Seconds deadline)
    {
        operations.push_back("op" + std::to_string(operations.size()));
        ConditionalChange change{Key, R"({"weight":1})", operations.back(), platform.object};
        writers.push_back(ConditionalWriter::create(std::move(change), now + deadline).value());
    }

    void reportLoss(ConditionalWriter &writer, std::uint64_t attempt)
    {
        if (reportsLossAsNotExecuted) {
            writer.onNotExecuted(attempt, now, random);
        } else {
            writer.onResponseLost(attempt, now, random);
        }
    }

    void put(ConditionalWriter &writer, const PutRequest &request, Delivery delivery)
    {
        if (delivery == Delivery::NotExecuted) {
            writer.onNotExecuted(request.attempt, now, random);
        } else if (delivery == Delivery::RequestLost) {
            reportLoss(writer, request.attempt);
        } else if (delivery == Delivery::Delayed) {
            platform.delayed.push_back(request);
            reportLoss(writer, request.attempt);
        } else {
            const bool written = platform.put(request);
            if (delivery == Delivery::ResponseLost) {
                reportLoss(writer, request.attempt);
            } else if (written) {
                writer.onWritten(platform.revision);
            } else {
                writer.onConflict(request.attempt, platform.object);
            }
        }
    }

    void step(std::size_t index, Delivery delivery)
    {
        auto &writer = writers.at(index);
        const auto request = writer.nextRequest(now, random);
        if (!request.has_value()) {
            return;
        }
        if (const auto *update = std::get_if<PutRequest>(&*request)) {
            put(writer, *update, delivery);
        } else if (const auto attempt = std::get<GetRequest>(*request).attempt; delivery == Delivery::Answered) {
            writer.onRead(attempt, platform.object, now, random);
        } else {
            writer.onResponseLost(attempt, now, random);
        }
    }

    void deliverDelayed()
    {
        if (!platform.delayed.empty()) {
            platform.put(platform.delayed.front());
            platform.delayed.pop_front();
        }
    }

    // Describes how the outcomes contradict the applied operations; empty if they do not.
    std::string contradiction() const
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
            const bool reportsNoWrite
                = outcome->code == WriteOutcomeCode::Conflict || outcome->code == WriteOutcomeCode::NotApplied;
            if ((outcome->code == WriteOutcomeCode::Applied && count == 0) || (reportsNoWrite && count == 1)) {
                return "false outcome: " + std::string(nameOf(outcome->code));
            }
        }
        return "";
    }
};

// Several operators write one object concurrently while requests and answers are lost or delayed, some repeatedly.
std::string runRace(bool ignoresCondition, bool reportsLossAsNotExecuted)
{
    Race race;
    race.platform.ignoresCondition = ignoresCondition;
    race.reportsLossAsNotExecuted = reportsLossAsNotExecuted;
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
            race.deliverDelayed();
        } else {
            const auto index = static_cast<std::size_t>(action) % race.writers.size();
            race.step(index, static_cast<Delivery>(detail));
        }
    }
    race.now += Seconds(20);
    for (std::size_t index = 0; index < race.writers.size(); ++index) {
        race.step(index, Delivery::Answered);
    }
    while (!race.platform.delayed.empty()) {
        race.deliverDelayed();
    }
    return race.contradiction();
}

} // namespace

TEST_CASE("an operator gets the true outcome of a concurrent write although requests and responses are lost or delayed")
{
    CHECK(rc::check("outcomes agree with the platform's history", [] { RC_ASSERT(runRace(false, false).empty()); }));
}

TEST_CASE("the check of outcomes detects injected faults")
{
    CHECK_FALSE(rc::check("platform ignores conditions", [] { RC_ASSERT(runRace(true, false).empty()); }));
    CHECK_FALSE(
        rc::check("transport reports lost requests as not executed", [] { RC_ASSERT(runRace(false, true).empty()); }));
}

TEST_CASE("after a lost response the outcome is found with up to eight later writes, and unknown with more")
{
    for (const std::size_t laterWrites : {0U, 1U, 8U, 9U}) {
        Race race;
        race.addWriter(Seconds(100));
        race.addWriter(Seconds(100));
        race.step(0, Delivery::ResponseLost);
        for (std::size_t count = 0; count < laterWrites; ++count) {
            race.addWriter(Seconds(100));
            race.step(race.writers.size() - 1, Delivery::Answered);
        }
        race.now += Seconds(10);
        race.step(0, Delivery::Answered);
        const auto expected = laterWrites <= 8 ? WriteOutcomeCode::Applied : WriteOutcomeCode::Unknown;
        CHECK(race.writers.at(0).outcome()->code == expected);
        // A change based on the object before all these writes is a conflict that contains both versions.
        race.step(1, Delivery::Answered);
        CHECK(race.writers.at(1).outcome()->code == WriteOutcomeCode::Conflict);
        CHECK_FALSE(race.writers.at(1).outcome()->base.has_value());
        CHECK(race.writers.at(1).outcome()->current == race.platform.object);
    }
}

TEST_CASE("an invalid change is rejected with a typed error: not an object, a reserved field, or too large")
{
    const auto codeOf = [](const std::string &value) {
        return ConditionalWriter::create(ConditionalChange{Key, value, "op", std::nullopt}, SteadyTime()).error().code;
    };
    CHECK(codeOf("[1]") == PlatformErrorCode::NotAnObject);
    CHECK(codeOf(R"({"operation":"mine"})") == PlatformErrorCode::ReservedField);
    CHECK(codeOf(R"({"a":")" + std::string(ConditionalWriter::MaxValueBytes, 'x') + "\"}")
          == PlatformErrorCode::TooLarge);
}

} // namespace Cardamomhill

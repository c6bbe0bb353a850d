// Guards against hosts that follow no changes for tens of seconds because a watch of the store is never answered.

#include "control/objectfollower.h"
#include "control/relayedkind.h"
#include "platform/objectapi.h"
#include "standins/platformstore.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>

using namespace Cardamomhill;

namespace
{

const std::string Kind = "servers";
constexpr Milliseconds CallInterval{100};
/// A host must be in touch again this long after a disruption has ended, and then learn of a change within the other.
constexpr Milliseconds StableWindow{3000};
constexpr Milliseconds ConfigurationTime{2000};

/// A store and one host that follows a kind of objects there.
struct Following {
    Following()
        : store(context)
        , endpoint(freeEndpoint(context))
        , relayed(context)
        , follower(context,
                   endpoint,
                   std::make_shared<Platform::ObjectApi>(),
                   Kind,
                   CallInterval,
                   "host",
                   {availability, relayed},
                   {[this](const ObjectPage &page) {
                        names.clear();
                        addNames(page);
                    },
                    [this](const ObjectPage &page) { addNames(page); },
                    [](bool) {}})
    {
        REQUIRE(store.listen(endpoint).has_value());
        put("first");
        follower.start();
        run(Milliseconds(500));
        REQUIRE(knows("first"));
    }

    void addNames(const ObjectPage &page)
    {
        for (const auto &object : page.objects) {
            names.insert(object.key.name);
        }
    }

    void put(const std::string &name)
    {
        store.put(Kind, name, {{"port", 1}});
    }

    bool knows(const std::string &name) const
    {
        return names.contains(name);
    }

    void run(Milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    asio::io_context context;
    PlatformStore store;
    tcp::endpoint endpoint;
    StoreAvailability availability;
    RelayedKind relayed;
    std::set<std::string> names;
    ObjectFollower follower;
};

} // namespace

TEST_CASE("a watch that a silent store has accepted hides no change that comes after the disruption")
{
    // The watch that follows a change is sent while the store is silent.
    for (const Milliseconds silence : {Milliseconds(400), Milliseconds(1000), Milliseconds(1700)}) {
        CAPTURE(silence.count());
        Following following;
        following.store.setSilent(true);
        following.put("second");
        following.run(silence);
        following.store.setSilent(false);
        following.run(StableWindow);
        following.put("third");
        following.run(ConfigurationTime);
        CHECK(following.knows("second"));
        CHECK(following.knows("third"));
    }
}

TEST_CASE("a watch whose answer is lost hides its change for a limited time, also if the short watch loses its answer")
{
    for (const int lostAnswers : {1, 2}) {
        CAPTURE(lostAnswers);
        Following following;
        following.store.loseNextChanges(Kind, lostAnswers);
        following.put("second");
        following.run(StableWindow);
        following.put("third");
        following.run(ConfigurationTime);
        CHECK(following.knows("second"));
        CHECK(following.knows("third"));
    }
}

TEST_CASE("a watch that the store has lost hides no change whose history was dropped")
{
    Following following;
    following.store.loseNextWatch(Kind);
    following.put("second");
    following.run(CallInterval * 4);
    REQUIRE(following.knows("second"));
    following.store.setMute(true);
    following.put("third");
    following.store.dropHistory();
    following.store.setMute(false);
    following.run(ConfigurationTime);
    CHECK(following.knows("third"));
}

TEST_CASE("a store without changes gets few calls, and a watch that is answered is not ended")
{
    constexpr Milliseconds QuietTime{9000};
    constexpr std::uint64_t MaxCalls = 8;
    Following following;
    const auto before = following.store.callCount();
    following.run(QuietTime);
    CHECK(following.store.callCount() - before <= MaxCalls);
    const auto quiet = following.store.callCount();
    following.put("second");
    following.run(Milliseconds(50));
    CHECK(following.knows("second"));
    // Both watches returned and are sent again; no list was needed.
    CHECK(following.store.callCount() == quiet + 2);
}

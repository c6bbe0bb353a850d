#include "objectstore/objectcopy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t History = 8;
constexpr int Names = 6;

PlatformObject objectOf(const std::string &name, std::uint64_t version)
{
    return {{"servers", name}, version, "{}"};
}

/// What a host knows that asks a copy for changes now and then.
struct Follower {
    std::uint64_t revision = 0;
    std::map<std::string, std::uint64_t> versions;

    void take(const ObjectPage &page, bool isAll)
    {
        if (isAll) {
            versions.clear();
        }
        for (const auto &object : page.objects) {
            versions[object.key.name] = object.version;
        }
        for (const auto &name : page.removed) {
            versions.erase(name);
        }
        revision = page.revision;
    }

    void ask(const ObjectCopy &copy)
    {
        const auto changes = copy.changesSince(revision);
        changes ? take(*changes, false) : take(copy.all(), true);
    }
};

} // namespace

TEST_CASE("whoever asks a copy now and then knows what the store has, however far it is behind")
{
    const bool holds = rc::check([] {
        std::map<std::string, std::uint64_t> store;
        std::uint64_t revision = 1;
        ObjectCopy copy(History);
        copy.replace(ObjectPage{revision, {}, {}, false});
        Follower follower;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            ObjectPage page;
            for (int change = 0; change <= step % 3; ++change) {
                const auto name = "s" + std::to_string((step + change * step) % Names);
                ++revision;
                if (step % 2 == 0 && store.erase(name) > 0) {
                    page.addRemoved(name);
                } else {
                    store[name] = revision;
                    page.addPresent(objectOf(name, revision));
                }
            }
            page.revision = revision;
            copy.apply(page);
            if (step % 5 == 0) {
                follower.ask(copy);
                RC_ASSERT(follower.versions == store);
            }
        }
        follower.ask(copy);
        RC_ASSERT(follower.versions == store);
    });
    CHECK(holds);
}

TEST_CASE("a copy whose contact was lost is not complete, and an older follower gets all objects afterwards")
{
    ObjectCopy copy;
    copy.replace(ObjectPage{5, {objectOf("a", 3)}, {}, false});
    CHECK(copy.isComplete());
    copy.clear();
    CHECK_FALSE(copy.isComplete());
    copy.replace(ObjectPage{9, {objectOf("b", 8)}, {}, false});
    CHECK_FALSE(copy.changesSince(5).has_value());
    CHECK(copy.all().objects.size() == 1);
}

TEST_CASE("a follower that is ahead of the copy learns nothing from it")
{
    ObjectCopy copy;
    copy.replace(ObjectPage{5, {objectOf("a", 3)}, {}, false});
    const auto changes = copy.changesSince(7);
    REQUIRE(changes.has_value());
    CHECK(changes->objects.empty());
    CHECK(changes->revision == 5);
}

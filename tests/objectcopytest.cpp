#include "objectstore/objectcopy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t HistoryLength = 8;
constexpr int NameCount = 6;

PlatformObject objectOf(const std::string &name, std::uint64_t version)
{
    return {{"servers", name}, version, "{}"};
}

/// The objects known to a host that polls a copy for changes.
struct Follower {
    StoreRevision revision;
    std::map<std::string, std::uint64_t> versions;

    void update(const ObjectPage &page, bool isAll)
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

    void poll(const ObjectCopy &copy)
    {
        const auto changes = copy.changesSince(revision);
        changes ? update(*changes, false) : update(copy.all(), true);
    }
};

} // namespace

TEST_CASE("a follower that polls a copy has the same objects as the store, however far behind it was")
{
    const bool holds = rc::check([] {
        std::map<std::string, std::uint64_t> store;
        std::uint64_t revision = 1;
        ObjectCopy copy(HistoryLength);
        copy.replace(ObjectPage{{0, revision}, {}, {}, false});
        Follower follower;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int step : steps) {
            ObjectPage page;
            for (int change = 0; change <= step % 3; ++change) {
                const auto name = "s" + std::to_string((step + change * step) % NameCount);
                ++revision;
                if (step % 2 == 0 && store.erase(name) > 0) {
                    page.addRemoved(name);
                } else {
                    store[name] = revision;
                    page.addChanged(objectOf(name, revision));
                }
            }
            page.revision.number = revision;
            copy.apply(page);
            if (step % 5 == 0) {
                follower.poll(copy);
                RC_ASSERT(follower.versions == store);
            }
        }
        follower.poll(copy);
        RC_ASSERT(follower.versions == store);
    });
    CHECK(holds);
}

TEST_CASE("a cleared copy is incomplete, and has no changes since an older revision after it is filled again")
{
    ObjectCopy copy;
    copy.replace(ObjectPage{{0, 5}, {objectOf("a", 3)}, {}, false});
    CHECK(copy.isComplete());
    copy.clear();
    CHECK_FALSE(copy.isComplete());
    copy.replace(ObjectPage{{0, 9}, {objectOf("b", 8)}, {}, false});
    CHECK_FALSE(copy.changesSince({0, 5}).has_value());
    CHECK(copy.all().objects.size() == 1);
}

TEST_CASE("a follower with a later revision than the copy gets no changes from it")
{
    ObjectCopy copy;
    copy.replace(ObjectPage{{0, 5}, {objectOf("a", 3)}, {}, false});
    const auto changes = copy.changesSince({0, 7});
    REQUIRE(changes.has_value());
    CHECK(changes->objects.empty());
    CHECK(changes->revision == StoreRevision{0, 5});
}

// A relay whose store was restored must not answer a host of the earlier era with changes that leave some out.
TEST_CASE("a copy of a later era has no changes since a revision of an earlier one, whatever its number")
{
    ObjectCopy copy;
    copy.replace(ObjectPage{{2, 5}, {objectOf("a", 3)}, {}, false});
    CHECK_FALSE(copy.changesSince({1, 5}).has_value());
    CHECK_FALSE(copy.changesSince({1, 900}).has_value());
    const auto changes = copy.changesSince({3, 1});
    REQUIRE(changes.has_value());
    CHECK(changes->objects.empty());
    CHECK(changes->revision < StoreRevision{3, 1});
}

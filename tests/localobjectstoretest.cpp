#include "core/hash.h"
#include "core/random.h"
#include "objectstore/objectstoremodule.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Cardamomhill
{

namespace
{

rc::Gen<VersionedObject> anyObject()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 2), rc::gen::inRange(0, 40), rc::gen::inRange(1, 400)),
        [](const std::tuple<int, int, int> &parts) {
            const auto [kind, name, version] = parts;
            VersionedObject object;
            object.key = {kind == 0 ? "profiles" : LocalObjectStore::OrganisationKind, std::to_string(name)};
            // A version identifies a single write, as on the platform.
            object.version = (static_cast<std::uint64_t>(version) * 40 + static_cast<std::uint64_t>(name)) * 2;
            object.version += static_cast<std::uint64_t>(kind);
            object.retired = object.version % 7 == 0;
            object.value = object.retired ? "" : std::to_string(object.version);
            return object;
        });
}

LocalObjectStore::Digests digestsFromScratch(const LocalObjectStore &store, DigestScope scope)
{
    LocalObjectStore::Digests digests{};
    for (std::size_t bucket = 0; bucket < LocalObjectStore::BucketCount; ++bucket) {
        for (const auto *object : store.objectsInBucket(bucket, scope)) {
            digests.at(bucket) += combineHashes(LocalObjectStore::keyHash(object->key), object->version);
        }
    }
    return digests;
}

} // namespace

TEST_CASE("stores that merged the same objects are equal, whatever the order and number, and keep the highest versions")
{
    CHECK(rc::check("merge ignores order and duplicates", [] {
        const auto objects = *rc::gen::container<std::vector<VersionedObject>>(anyObject());
        auto shuffled = objects;
        shuffled.insert(shuffled.end(), objects.begin(), objects.end());
        std::shuffle(shuffled.begin(), shuffled.end(), Random(objects.size()));
        LocalObjectStore first;
        LocalObjectStore second;
        for (const auto &object : objects) {
            const auto *before = first.find(object.key);
            const auto versionBefore = before == nullptr ? 0 : before->version;
            RC_ASSERT(first.merge(object) == (object.version > versionBefore));
            RC_ASSERT(first.find(object.key)->version == std::max(versionBefore, object.version));
        }
        second.merge(shuffled);
        RC_ASSERT(first.size() == second.size());
        RC_ASSERT(first.highestRevision() == second.highestRevision());
        first.forEach([&](const VersionedObject &object) { RC_ASSERT(*second.find(object.key) == object); });
        for (const auto scope : {DigestScope::All, DigestScope::WithoutOrganisations}) {
            RC_ASSERT(first.digests(scope) == digestsFromScratch(first, scope));
            RC_ASSERT(first.digests(scope) == second.digests(scope));
        }
    }));
}

TEST_CASE("changesAfter returns nothing, not an incomplete list, when the index of recent changes does not reach back")
{
    LocalObjectStore store;
    for (std::uint64_t version = 1; version <= 1000; ++version) {
        store.merge(VersionedObject{{"profiles", std::to_string(version % 600)}, version, "{}", false});
    }
    CHECK(store.changesAfter(990)->size() == 10);
    CHECK(store.changesAfter(1000)->empty());
    CHECK_FALSE(store.changesAfter(100).has_value());
    // An old version received late must not hide that a change was dropped from the index.
    store.merge(VersionedObject{{"profiles", "late"}, 5, "{}", false});
    CHECK_FALSE(store.changesAfter(700).has_value());
}

} // namespace Cardamomhill

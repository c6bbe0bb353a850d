#pragma once

#include "objectstore/digestscope.h"
#include "objectstore/versionedobject.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Cardamomhill
{

/// The copy of the platform's objects that a process keeps: for each key the highest version seen.
///
/// The merge is commutative, associative and idempotent, so order, duplicates and sources of objects do not matter.
/// Tombstones are kept. Pointers to stored objects stay valid until the object is replaced by a newer version.
class ObjectStore
{
public:
    static constexpr std::size_t BucketCount = 64;
    /// One digest for each bucket: the sum of the hashes of key and version of its objects; 0 for an empty bucket.
    using Digests = std::array<std::uint64_t, BucketCount>;

    /// Only entry processes keep objects of this kind.
    static constexpr const char *OrganisationKind = "organisations";

    /// Takes the object if it is newer than the stored one. Returns whether the store changed.
    bool merge(VersionedObject object);

    /// Takes the newer ones of the objects and returns these.
    std::vector<VersionedObject> merge(std::vector<VersionedObject> objects);

    /// The object with the key, retired or not, or null.
    const VersionedObject *find(const ObjectKey &key) const;

    /// The objects of a bucket, ordered by key.
    std::vector<const VersionedObject *> objectsIn(std::size_t bucket, DigestScope scope = DigestScope::All) const;

    /// Calls the visitor with each object.
    void forEach(const std::function<void(const VersionedObject &)> &visitor) const;

    const Digests &digests(DigestScope scope = DigestScope::All) const;

    /// One digest of the whole store.
    std::uint64_t digest(DigestScope scope = DigestScope::All) const;

    /// The highest version of any object seen. Objects with lower versions may still be missing.
    std::uint64_t highestRevision() const;

    /// The stored objects with versions above the revision in order of version, or nothing when the index of
    /// recent changes does not reach back that far.
    std::optional<std::vector<const VersionedObject *>> changesAfter(std::uint64_t revision) const;

    /// The number of objects, tombstones included.
    std::size_t size() const;

    /// A hash of the key that is the same in every process.
    static std::uint64_t keyHash(const ObjectKey &key);

    static std::size_t bucketOf(const ObjectKey &key);

private:
    struct KeyLess {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name given by the standard library
        bool operator()(const VersionedObject &left, const VersionedObject &right) const;
        bool operator()(const VersionedObject &left, const ObjectKey &right) const;
        bool operator()(const ObjectKey &left, const VersionedObject &right) const;
    };
    // Ordered sets: a scan of a bucket gives the same order in every process.
    using Bucket = std::set<VersionedObject, KeyLess>;
    using RecentChange = std::pair<std::uint64_t, const VersionedObject *>;

    void account(const VersionedObject &object);
    void discount(const VersionedObject &object);
    void trimRecentChanges();

    std::array<Bucket, BucketCount> m_buckets;
    Digests m_digests{};
    Digests m_digestsWithoutOrganisations{};
    std::set<RecentChange> m_recent;
    std::uint64_t m_recentFloor = 0;
    std::uint64_t m_highestRevision = 0;
    std::size_t m_size = 0;
};

} // namespace Cardamomhill

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

/// A process's copy of the platform's objects: for each key the highest version seen.
///
/// The merge is commutative, associative and idempotent, so order, duplicates and sources of objects do not matter.
/// Tombstones are kept. A pointer to a stored object stays valid until a newer version replaces the object.
class LocalObjectStore
{
public:
    static constexpr std::size_t BucketCount = 64;
    /// One digest per bucket: the sum of its objects' hashes of key and version; 0 for an empty bucket.
    using Digests = std::array<std::uint64_t, BucketCount>;

    /// Kind of the organisations, which only entry processes keep.
    static constexpr const char *OrganisationKind = "organisations";

    /// Stores the object if it is newer than the stored one. Returns whether the store changed.
    bool merge(VersionedObject object);

    /// Stores the objects that are newer than the stored ones, and returns these.
    std::vector<VersionedObject> merge(std::vector<VersionedObject> objects);

    /// The object with this key, which may be a tombstone; null if there is none.
    const VersionedObject *find(const ObjectKey &key) const;

    /// The objects of a bucket, ordered by key.
    std::vector<const VersionedObject *> objectsInBucket(std::size_t bucket,
                                                         DigestScope scope = DigestScope::All) const;

    /// Calls the visitor with each object.
    void forEach(const std::function<void(const VersionedObject &)> &visitor) const;

    const Digests &digests(DigestScope scope = DigestScope::All) const;

    /// The digest of the whole store.
    std::uint64_t digest(DigestScope scope = DigestScope::All) const;

    /// The highest version of any object seen. Objects with lower versions may still be missing.
    std::uint64_t highestRevision() const;

    /// The stored objects with versions above the revision, in order of version; nothing when the index of recent
    /// changes does not reach back that far.
    std::optional<std::vector<const VersionedObject *>> changesAfter(std::uint64_t revision) const;

    /// The number of objects, tombstones included.
    std::size_t size() const;

    /// A hash of the key; equal in every process, unlike std::hash.
    static std::uint64_t keyHash(const ObjectKey &key);

    static std::size_t bucketOf(const ObjectKey &key);

private:
    struct KeyLess {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name given by the standard library
        bool operator()(const VersionedObject &left, const VersionedObject &right) const;
        bool operator()(const VersionedObject &left, const ObjectKey &right) const;
        bool operator()(const ObjectKey &left, const VersionedObject &right) const;
    };
    // An ordered set, so that every process iterates over a bucket in the same order.
    using Bucket = std::set<VersionedObject, KeyLess>;
    using RecentChange = std::pair<std::uint64_t, const VersionedObject *>;

    void addToIndexes(const VersionedObject &object);
    void removeFromIndexes(const VersionedObject &object);
    void trimRecentChanges();

    std::array<Bucket, BucketCount> m_buckets;
    Digests m_digests{};
    Digests m_digestsWithoutOrganisations{};
    std::set<RecentChange> m_recentChanges;
    std::uint64_t m_recentStart = 0;
    std::uint64_t m_highestRevision = 0;
    std::size_t m_size = 0;
};

} // namespace Cardamomhill

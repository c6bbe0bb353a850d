#include "objectstore/localobjectstore.h"

#include "core/hash.h"

#include <algorithm>
#include <numeric>

namespace Cardamomhill
{

namespace
{

// Limits the memory of the index of recent changes (about 64 bytes each). A process that lags is usually only seconds
// behind; 5,900 changes a day are 5 in 75 seconds.
constexpr std::size_t MaxRecentChanges = 256;

// The six highest bits of the key's hash select the bucket.
constexpr unsigned BucketShift = 58;

std::uint64_t objectHash(const VersionedObject &object)
{
    return combineHashes(LocalObjectStore::keyHash(object.key), object.version);
}

bool isOrganisation(const ObjectKey &key)
{
    return key.kind == LocalObjectStore::OrganisationKind;
}

} // namespace

bool LocalObjectStore::KeyLess::operator()(const VersionedObject &left, const VersionedObject &right) const
{
    return left.key < right.key;
}

bool LocalObjectStore::KeyLess::operator()(const VersionedObject &left, const ObjectKey &right) const
{
    return left.key < right;
}

bool LocalObjectStore::KeyLess::operator()(const ObjectKey &left, const VersionedObject &right) const
{
    return left < right.key;
}

bool LocalObjectStore::merge(VersionedObject object)
{
    auto &bucket = m_buckets.at(bucketOf(object.key));
    const auto found = bucket.find(object.key);
    if (found == bucket.end()) {
        ++m_size;
        addToIndexes(*bucket.insert(std::move(object)).first);
        return true;
    }
    if (found->version >= object.version) {
        return false;
    }
    removeFromIndexes(*found);
    auto node = bucket.extract(found);
    node.value() = std::move(object);
    addToIndexes(*bucket.insert(std::move(node)).position);
    return true;
}

std::vector<VersionedObject> LocalObjectStore::merge(std::vector<VersionedObject> objects)
{
    std::vector<VersionedObject> changed;
    for (auto &object : objects) {
        if (merge(object)) {
            changed.push_back(std::move(object));
        }
    }
    return changed;
}

const VersionedObject *LocalObjectStore::find(const ObjectKey &key) const
{
    const auto &bucket = m_buckets.at(bucketOf(key));
    const auto found = bucket.find(key);
    return found == bucket.end() ? nullptr : &*found;
}

std::vector<const VersionedObject *> LocalObjectStore::objectsInBucket(std::size_t bucket, DigestScope scope) const
{
    std::vector<const VersionedObject *> objects;
    for (const auto &object : m_buckets.at(bucket)) {
        if (scope == DigestScope::All || !isOrganisation(object.key)) {
            objects.push_back(&object);
        }
    }
    return objects;
}

void LocalObjectStore::forEach(const std::function<void(const VersionedObject &)> &visitor) const
{
    for (const auto &bucket : m_buckets) {
        std::for_each(bucket.begin(), bucket.end(), visitor);
    }
}

const LocalObjectStore::Digests &LocalObjectStore::digests(DigestScope scope) const
{
    return scope == DigestScope::All ? m_digests : m_digestsWithoutOrganisations;
}

std::uint64_t LocalObjectStore::digest(DigestScope scope) const
{
    const auto &buckets = digests(scope);
    return std::accumulate(buckets.begin(), buckets.end(), std::uint64_t{0});
}

std::uint64_t LocalObjectStore::highestRevision() const
{
    return m_highestRevision;
}

std::optional<std::vector<const VersionedObject *>> LocalObjectStore::changesAfter(std::uint64_t revision) const
{
    if (revision < m_recentStart) {
        return std::nullopt;
    }
    std::vector<const VersionedObject *> changes;
    for (auto change = m_recentChanges.lower_bound({revision + 1, nullptr}); change != m_recentChanges.end();
         ++change) {
        changes.push_back(change->second);
    }
    return changes;
}

std::size_t LocalObjectStore::size() const
{
    return m_size;
}

std::uint64_t LocalObjectStore::keyHash(const ObjectKey &key)
{
    return combineHashes(hash64(key.kind), hash64(key.name));
}

std::size_t LocalObjectStore::bucketOf(const ObjectKey &key)
{
    return keyHash(key) >> BucketShift;
}

void LocalObjectStore::addToIndexes(const VersionedObject &object)
{
    const auto bucket = bucketOf(object.key);
    m_digests.at(bucket) += objectHash(object);
    if (!isOrganisation(object.key)) {
        m_digestsWithoutOrganisations.at(bucket) += objectHash(object);
    }
    m_highestRevision = std::max(m_highestRevision, object.version);
    m_recentChanges.emplace(object.version, &object);
    trimRecentChanges();
}

void LocalObjectStore::removeFromIndexes(const VersionedObject &object)
{
    const auto bucket = bucketOf(object.key);
    m_digests.at(bucket) -= objectHash(object);
    if (!isOrganisation(object.key)) {
        m_digestsWithoutOrganisations.at(bucket) -= objectHash(object);
    }
    m_recentChanges.erase({object.version, &object});
}

void LocalObjectStore::trimRecentChanges()
{
    if (m_recentChanges.size() > MaxRecentChanges) {
        m_recentStart = std::max(m_recentStart, m_recentChanges.begin()->first);
        m_recentChanges.erase(m_recentChanges.begin());
    }
}

} // namespace Cardamomhill

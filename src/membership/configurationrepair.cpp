#include "membership/configurationrepair.h"

#include <algorithm>
#include <unordered_map>

namespace Cardamomhill::internal
{

namespace
{

// Limits how long an answer delays others on the connection. The last object may exceed it; a value has at most 1 MB.
constexpr std::size_t AnswerLimitBytes = 524288;
constexpr std::size_t ObjectOverheadBytes = 64;
// The bucket of a key is the upper six bits of its hash.
constexpr unsigned BucketShift = 58;

class AnswerBuilder
{
public:
    AnswerBuilder(const ReplicationGate &gate, bool onlyInForce)
        : m_gate(gate)
        , m_onlyInForce(onlyInForce)
    {
    }

    void addObject(const VersionedObject &object)
    {
        const bool inForce = !m_gate.isPending(object.key);
        if (!inForce && m_onlyInForce) {
            return;
        }
        if (m_bytes > AnswerLimitBytes) {
            m_message.isComplete = false;
            return;
        }
        m_bytes += object.key.name.size() + object.value.size() + ObjectOverheadBytes;
        m_message.objects.push_back(ObjectUpdate{object, inForce});
    }

    void addVersion(const VersionedObject &object)
    {
        if (!m_onlyInForce || !m_gate.isPending(object.key)) {
            m_message.versions.emplace_back(LocalObjectStore::keyHash(object.key), object.version);
        }
    }

    ObjectsMessage take(bool isComplete)
    {
        m_message.isComplete = m_message.isComplete && isComplete;
        return std::move(m_message);
    }

private:
    const ReplicationGate &m_gate;
    bool m_onlyInForce;
    std::size_t m_bytes = 0;
    ObjectsMessage m_message;
};

DigestScope scopeOf(bool isAgent)
{
    return isAgent ? DigestScope::WithoutOrganisations : DigestScope::All;
}

ObjectsMessage newerObjects(const LocalObjectStore &store, AnswerBuilder builder, const RepairRequest &request)
{
    const auto changes = store.changesAfter(request.highestRevision);
    if (!changes.has_value()) {
        return builder.take(false);
    }
    for (const auto *object : *changes) {
        if (!request.isAgent || object->key.kind != LocalObjectStore::OrganisationKind) {
            builder.addObject(*object);
        }
    }
    return builder.take(true);
}

} // namespace

RepairRequest fullRepairRequest(const LocalObjectStore &store, DigestScope scope)
{
    const auto &digests = store.digests(scope);
    RepairRequest request;
    request.highestRevision = store.highestRevision();
    request.digests.assign(digests.begin(), digests.end());
    request.isAgent = scope == DigestScope::WithoutOrganisations;
    return request;
}

ObjectsMessage repairAnswer(const LocalObjectStore &store, const ReplicationGate &gate, const RepairRequest &request)
{
    AnswerBuilder builder(gate, request.isAgent && !request.isJoining);
    if (request.digests.size() != LocalObjectStore::BucketCount) {
        return newerObjects(store, std::move(builder), request);
    }
    const auto scope = scopeOf(request.isAgent);
    const auto &own = store.digests(scope);
    for (std::size_t bucket = 0; bucket < LocalObjectStore::BucketCount; ++bucket) {
        if (own.at(bucket) == request.digests.at(bucket)) {
            continue;
        }
        // A bucket that is empty at the receiver is sent whole; from others, the receiver fetches what it lacks.
        for (const auto *object : store.objectsInBucket(bucket, scope)) {
            if (request.digests.at(bucket) == 0) {
                builder.addObject(*object);
            } else {
                builder.addVersion(*object);
            }
        }
    }
    return builder.take(true);
}

ObjectsMessage fetchAnswer(const LocalObjectStore &store, const ReplicationGate &gate, const FetchRequest &request)
{
    std::array<std::vector<std::uint64_t>, LocalObjectStore::BucketCount> wanted;
    for (const auto key : request.keys) {
        wanted.at(key >> BucketShift).push_back(key);
    }
    AnswerBuilder builder(gate, false);
    for (std::size_t bucket = 0; bucket < LocalObjectStore::BucketCount; ++bucket) {
        auto &keys = wanted.at(bucket);
        if (keys.empty()) {
            continue;
        }
        std::sort(keys.begin(), keys.end());
        for (const auto *object : store.objectsInBucket(bucket, scopeOf(request.isAgent))) {
            if (std::binary_search(keys.begin(), keys.end(), LocalObjectStore::keyHash(object->key))) {
                builder.addObject(*object);
            }
        }
    }
    return builder.take(request.isComplete);
}

std::vector<std::uint64_t> missingKeys(const LocalObjectStore &store, const ObjectsMessage &message)
{
    std::array<std::optional<std::unordered_map<std::uint64_t, std::uint64_t>>, LocalObjectStore::BucketCount> known;
    std::vector<std::uint64_t> missing;
    for (const auto &[key, version] : message.versions) {
        auto &bucket = known.at(key >> BucketShift);
        if (!bucket.has_value()) {
            bucket.emplace();
            for (const auto *object : store.objectsInBucket(key >> BucketShift)) {
                bucket->emplace(LocalObjectStore::keyHash(object->key), object->version);
            }
        }
        const auto found = bucket->find(key);
        if (found == bucket->end() || found->second < version) {
            missing.push_back(key);
        }
    }
    return missing;
}

} // namespace Cardamomhill::internal

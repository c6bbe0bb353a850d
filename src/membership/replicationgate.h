#pragma once

#include "objectstore/versionedobject.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Cardamomhill::internal
{

/// Objects that this host stores but has not put in force, because too few other hosts are known to store them.
///
/// If a host put a change in force alone and restarted while the platform is unavailable, it would come back with the
/// older version of its peers. So a change comes into force only when two other hosts store it.
class ReplicationGate
{
public:
    /// Number of other hosts that must store an object.
    static constexpr std::size_t RequiredReplicas = 2;

    /// Adds a version that is not in force yet. It replaces an older pending one and its replicas.
    void addPending(const ObjectKey &key, std::uint64_t version);

    /// For an object that came into force in another way.
    void removePending(const ObjectKey &key);

    bool isPending(const ObjectKey &key) const;

    bool isEmpty() const;

    /// Records that the host stores this version or a newer one.
    void addReplica(const ObjectKey &key, std::uint64_t version, std::uint64_t host);

    /// Records that the host stores all pending objects, since its copy has the same digest.
    void addReplicaOfAll(std::uint64_t host);

    /// Removes and returns the keys of objects with enough replicas.
    std::vector<ObjectKey> takeReplicated(std::size_t requiredReplicas);

private:
    struct Pending {
        std::uint64_t version = 0;
        std::set<std::uint64_t> replicas;
    };

    std::map<ObjectKey, Pending> m_pending;
};

} // namespace Cardamomhill::internal

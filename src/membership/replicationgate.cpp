#include "membership/replicationgate.h"

namespace Cardamomhill::internal
{

void ReplicationGate::addPending(const ObjectKey &key, std::uint64_t version)
{
    auto &pending = m_pending[key];
    if (version > pending.version) {
        pending = Pending{version, {}};
    }
}

void ReplicationGate::removePending(const ObjectKey &key)
{
    m_pending.erase(key);
}

bool ReplicationGate::isPending(const ObjectKey &key) const
{
    return m_pending.count(key) > 0;
}

bool ReplicationGate::isEmpty() const
{
    return m_pending.empty();
}

void ReplicationGate::addReplica(const ObjectKey &key, std::uint64_t version, std::uint64_t host)
{
    const auto found = m_pending.find(key);
    if (found != m_pending.end() && version >= found->second.version) {
        found->second.replicas.insert(host);
    }
}

void ReplicationGate::addReplicaOfAll(std::uint64_t host)
{
    for (auto &[key, pending] : m_pending) {
        pending.replicas.insert(host);
    }
}

std::vector<ObjectKey> ReplicationGate::takeReplicated(std::size_t requiredReplicas)
{
    std::vector<ObjectKey> replicated;
    for (const auto &[key, pending] : m_pending) {
        if (pending.replicas.size() >= requiredReplicas) {
            replicated.push_back(key);
        }
    }
    for (const auto &key : replicated) {
        m_pending.erase(key);
    }
    return replicated;
}

} // namespace Cardamomhill::internal

#include "membership/forcegate.h"

namespace Cardamomhill::internal
{

void ForceGate::addPending(const ObjectKey &key, std::uint64_t version)
{
    auto &pending = m_pending[key];
    if (version > pending.version) {
        pending = Pending{version, {}};
    }
}

void ForceGate::removePending(const ObjectKey &key)
{
    m_pending.erase(key);
}

bool ForceGate::isPending(const ObjectKey &key) const
{
    return m_pending.count(key) > 0;
}

bool ForceGate::isEmpty() const
{
    return m_pending.empty();
}

void ForceGate::addReplica(const ObjectKey &key, std::uint64_t version, std::uint64_t host)
{
    const auto found = m_pending.find(key);
    if (found != m_pending.end() && version >= found->second.version) {
        found->second.replicas.insert(host);
    }
}

void ForceGate::addReplicaOfAll(std::uint64_t host)
{
    for (auto &[key, pending] : m_pending) {
        pending.replicas.insert(host);
    }
}

std::vector<ObjectKey> ForceGate::takeReplicated(std::size_t requiredReplicas)
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

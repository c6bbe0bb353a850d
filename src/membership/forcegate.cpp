#include "membership/forcegate.h"

namespace Cardamomhill::internal
{

void ForceGate::hold(const ObjectKey &key, std::uint64_t version)
{
    auto &held = m_held[key];
    if (version > held.version) {
        held = Held{version, {}};
    }
}

void ForceGate::drop(const ObjectKey &key)
{
    m_held.erase(key);
}

bool ForceGate::isHeld(const ObjectKey &key) const
{
    return m_held.count(key) > 0;
}

bool ForceGate::isEmpty() const
{
    return m_held.empty();
}

void ForceGate::addHolder(const ObjectKey &key, std::uint64_t version, std::uint64_t host)
{
    const auto found = m_held.find(key);
    if (found != m_held.end() && version >= found->second.version) {
        found->second.holders.insert(host);
    }
}

void ForceGate::addHolderOfAll(std::uint64_t host)
{
    for (auto &[key, held] : m_held) {
        held.holders.insert(host);
    }
}

std::vector<ObjectKey> ForceGate::release(std::size_t requiredHolders)
{
    std::vector<ObjectKey> released;
    for (const auto &[key, held] : m_held) {
        if (held.holders.size() >= requiredHolders) {
            released.push_back(key);
        }
    }
    for (const auto &key : released) {
        m_held.erase(key);
    }
    return released;
}

} // namespace Cardamomhill::internal

#pragma once

#include "objectstore/versionedobject.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Cardamomhill::internal
{

/// Objects that this host holds but has not put in force, because too few other hosts are known to hold them.
///
/// A host that put a change in force alone and restarted while the platform is away would come back with the older
/// version that its peers have. So a change comes into force only when two other hosts hold it.
class ForceGate
{
public:
    static constexpr std::size_t RequiredHolders = 2;

    void hold(const ObjectKey &key, std::uint64_t version);

    /// The object came into force in another way.
    void drop(const ObjectKey &key);

    bool isHeld(const ObjectKey &key) const;

    bool isEmpty() const;

    /// The host holds this version or a newer one.
    void addHolder(const ObjectKey &key, std::uint64_t version, std::uint64_t host);

    /// The host's copy is equal to ours, so it holds all of them.
    void addHolderOfAll(std::uint64_t host);

    /// Removes and returns the keys that enough hosts hold.
    std::vector<ObjectKey> release(std::size_t requiredHolders);

private:
    struct Held {
        std::uint64_t version = 0;
        std::set<std::uint64_t> holders;
    };

    std::map<ObjectKey, Held> m_held;
};

} // namespace Cardamomhill::internal

#pragma once

#include "objectstore/objectpage.h"
#include "objectstore/storerevision.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Cardamomhill
{

/// A copy of all objects of one kind at one revision of the store, with the names of the objects changed most recently.
/// A relay host answers other hosts from it with the changes since the revision that they have.
class ObjectCopy
{
public:
    /// Number of changes kept. A host whose revision is older than all of them receives all objects.
    static constexpr std::size_t DefaultHistoryLength = 1024;

    explicit ObjectCopy(std::size_t historyLength = DefaultHistoryLength);

    /// Replaces the content with a complete list of the kind.
    void replace(const ObjectPage &all);
    /// Applies changes made since the revision of the copy, in the same era of the store.
    void apply(const ObjectPage &changes);
    /// Drops the content when changes may have been missed. The copy is incomplete until the next replace().
    void clear();

    bool isComplete() const;
    const StoreRevision &revision() const;

    ObjectPage all() const;
    /// The changes between the given revision and the copy's; nothing when the history does not reach back that far,
    /// which includes every revision of an earlier era.
    /// The page is empty for a revision later than the copy's.
    std::optional<ObjectPage> changesSince(const StoreRevision &revision) const;

private:
    void recordChange(const StoreRevision &revision, const std::string &name);

    std::size_t m_historyLength;
    bool m_isComplete = false;
    StoreRevision m_revision;
    /// m_changes holds all changes after this revision.
    StoreRevision m_historyStart;
    std::map<std::string, PlatformObject> m_objects;
    std::deque<std::pair<StoreRevision, std::string>> m_changes;
};

} // namespace Cardamomhill

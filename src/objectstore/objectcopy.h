#pragma once

#include "objectstore/objectpage.h"

#include <cstddef>
#include <cstdint>
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
    /// Applies changes made since the revision of the copy.
    void apply(const ObjectPage &changes);
    /// Drops the content when changes may have been missed. The copy is incomplete until the next replace().
    void clear();

    bool isComplete() const;
    std::uint64_t revision() const;

    ObjectPage all() const;
    /// The changes between the given revision and the copy's; nothing when the history does not reach back that far.
    /// The page is empty for a revision later than the copy's.
    std::optional<ObjectPage> changesSince(std::uint64_t revision) const;

private:
    void recordChange(std::uint64_t revision, const std::string &name);

    std::size_t m_historyLength;
    bool m_isComplete = false;
    std::uint64_t m_revision = 0;
    /// m_changes holds all changes after this revision.
    std::uint64_t m_historyStart = 0;
    std::map<std::string, PlatformObject> m_objects;
    std::deque<std::pair<std::uint64_t, std::string>> m_changes;
};

} // namespace Cardamomhill

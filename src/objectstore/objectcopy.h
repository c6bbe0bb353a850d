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

/// All objects of one kind as the store had them at one revision, with the names of those that changed last. Hosts that
/// follow the store through this one are told the difference to what they know.
class ObjectCopy
{
public:
    /// Names of changed objects that are kept. Whoever knows less than these is told all objects.
    static constexpr std::size_t DefaultHistory = 1024;

    explicit ObjectCopy(std::size_t history = DefaultHistory);

    /// Every object of the kind.
    void replace(const ObjectPage &all);
    /// Changes since the revision of the copy.
    void apply(const ObjectPage &changes);
    /// What has changed since is not known: nothing is told until every object is known again.
    void clear();

    bool isComplete() const;
    std::uint64_t revision() const;

    ObjectPage all() const;
    /// How the copy differs from the objects at an earlier revision; nothing when that is too long ago. A later
    /// revision than the copy's has no difference.
    std::optional<ObjectPage> changesSince(std::uint64_t revision) const;

private:
    void remember(std::uint64_t revision, const std::string &name);

    std::size_t m_history;
    bool m_isComplete = false;
    std::uint64_t m_revision = 0;
    /// Changes after this revision are in m_changes.
    std::uint64_t m_historyBegin = 0;
    std::map<std::string, PlatformObject> m_objects;
    std::deque<std::pair<std::uint64_t, std::string>> m_changes;
};

} // namespace Cardamomhill

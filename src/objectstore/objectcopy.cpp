#include "objectstore/objectcopy.h"

#include <set>

namespace Cardamomhill
{

ObjectCopy::ObjectCopy(std::size_t historyLength)
    : m_historyLength(historyLength)
{
}

void ObjectCopy::replace(const ObjectPage &all)
{
    m_objects.clear();
    for (const auto &object : all.objects) {
        m_objects[object.key.name] = object;
    }
    m_changes.clear();
    m_revision = all.revision;
    m_historyStart = all.revision;
    m_isComplete = true;
}

void ObjectCopy::apply(const ObjectPage &changes)
{
    for (const auto &object : changes.objects) {
        m_objects[object.key.name] = object;
        recordChange(changes.revision, object.key.name);
    }
    for (const auto &name : changes.removed) {
        m_objects.erase(name);
        recordChange(changes.revision, name);
    }
    m_revision = changes.revision;
}

void ObjectCopy::clear()
{
    m_isComplete = false;
    m_objects.clear();
    m_changes.clear();
}

bool ObjectCopy::isComplete() const
{
    return m_isComplete;
}

const StoreRevision &ObjectCopy::revision() const
{
    return m_revision;
}

ObjectPage ObjectCopy::all() const
{
    ObjectPage page;
    page.revision = m_revision;
    for (const auto &[name, object] : m_objects) {
        page.objects.push_back(object);
    }
    return page;
}

std::optional<ObjectPage> ObjectCopy::changesSince(const StoreRevision &revision) const
{
    if (revision < m_historyStart) {
        return std::nullopt;
    }
    std::set<std::string> names;
    for (auto change = m_changes.rbegin(); change != m_changes.rend() && change->first > revision; ++change) {
        names.insert(change->second);
    }
    ObjectPage page;
    page.revision = m_revision;
    for (const auto &name : names) {
        const auto found = m_objects.find(name);
        if (found == m_objects.end()) {
            page.removed.push_back(name);
        } else {
            page.objects.push_back(found->second);
        }
    }
    return page;
}

void ObjectCopy::recordChange(const StoreRevision &revision, const std::string &name)
{
    m_changes.emplace_back(revision, name);
    while (m_changes.size() > m_historyLength) {
        // Other changes of the same revision may remain, so the history of that revision is incomplete.
        m_historyStart = m_changes.front().first;
        m_changes.pop_front();
    }
}

} // namespace Cardamomhill

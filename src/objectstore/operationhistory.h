#pragma once

#include "objectstore/platformobject.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The ids of the last writes to an object, which each writer copies forward. They tell a writer whose response was
/// lost whether its write took effect, even when others wrote after it.
class OperationHistory
{
public:
    static constexpr const char *OperationField = "operation";
    static constexpr const char *PreviousField = "previousOperations";
    static constexpr std::size_t Length = 8;

    /// Reads the history of an object. A writer that does not keep the history leaves an object without an operation
    /// id; the object's version stands in for it, so that a gap in the history shows.
    static OperationHistory of(const PlatformObject &object);

    /// Whether the operation wrote the object, now or among the writes that the history still holds.
    bool contains(const std::string &operation) const;

    /// The id of the write that made the object.
    const std::string &current() const;

    /// The ids of the writes before it, newest first.
    const std::vector<std::string> &previous() const;

    /// Whether the history certainly holds each write since the object was as in the base, or since its creation
    /// when there was no base.
    bool reachesBackTo(const std::optional<PlatformObject> &base) const;

    /// The previous ids that the next writer has to store.
    std::vector<std::string> successors() const;

private:
    std::string m_current;
    std::vector<std::string> m_previous;
    bool m_hasGap = false;
};

} // namespace Cardamomhill

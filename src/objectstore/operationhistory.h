#pragma once

#include "objectstore/platformobject.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// The operation ids of the last writes to an object. Each writer stores them in the new value, so that a writer whose
/// response was lost can determine whether its write took effect, even when others wrote after it.
class OperationHistory
{
public:
    static constexpr const char *OperationField = "operation";
    static constexpr const char *PreviousOperationsField = "previousOperations";
    static constexpr std::size_t MaxPreviousOperations = 8;

    /// Reads the history of an object. An object written without an operation id, by a writer that does not keep the
    /// history, gets an id made of its version, so that the gap in the history can be detected.
    static OperationHistory fromObject(const PlatformObject &object);

    /// Whether the operation is the last write or one of the earlier writes in the history.
    bool contains(const std::string &operation) const;

    /// The id of the last write.
    const std::string &current() const;

    /// The ids of the earlier writes, newest first.
    const std::vector<std::string> &previous() const;

    /// Whether the history certainly contains every write since the base version of the object, or since its creation
    /// when there is no base.
    bool reachesBackTo(const std::optional<PlatformObject> &base) const;

    /// The ids that the next writer has to store as `previousOperations`.
    std::vector<std::string> previousForNextWrite() const;

private:
    std::string m_current;
    std::vector<std::string> m_previous;
    bool m_hasGap = false;
};

} // namespace Cardamomhill

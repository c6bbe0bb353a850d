#pragma once

#include "core/nametable.h"
#include "objectstore/platformobject.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

enum class WriteOutcomeCode : std::uint8_t {
    /// The write took effect, perhaps followed by others.
    Applied,
    /// Somebody else changed the object first. The write did not take effect and never will.
    Conflict,
    /// No attempt reached the platform, so nothing was written.
    NotApplied,
    /// Neither can be shown.
    Unknown,
};

constexpr auto nameTable(WriteOutcomeCode)
{
    return std::to_array<NamedValue<WriteOutcomeCode>>({
        {WriteOutcomeCode::Applied, "applied"},
        {WriteOutcomeCode::Conflict, "conflict"},
        {WriteOutcomeCode::NotApplied, "not-applied"},
        {WriteOutcomeCode::Unknown, "unknown"},
    });
}

/// How a conditional update ended.
struct WriteOutcome {
    WriteOutcomeCode code = WriteOutcomeCode::Unknown;
    /// The version that the write made, when the platform said it.
    std::uint64_t version = 0;
    /// The object that the change was based on; nothing when it was to be created.
    std::optional<PlatformObject> base;
    /// The object as last read from the platform, when it was read.
    std::optional<PlatformObject> current;
};

} // namespace Cardamomhill

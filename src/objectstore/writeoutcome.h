#pragma once

#include "core/nametable.h"
#include "objectstore/platformobject.h"

#include <cstdint>
#include <optional>

namespace Cardamomhill
{

enum class WriteOutcomeCode : std::uint8_t {
    /// The write took effect; others may have followed it.
    Applied,
    /// Another writer changed the object first. The write did not take effect and never will.
    Conflict,
    /// No attempt reached the platform, so nothing was written.
    NotApplied,
    /// It could not be determined whether the write took effect.
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

/// The outcome of a conditional update.
struct WriteOutcome {
    WriteOutcomeCode code = WriteOutcomeCode::Unknown;
    /// The version that the write created, if known; otherwise 0.
    std::uint64_t version = 0;
    /// The object that the change was based on; empty when it was to be created.
    std::optional<PlatformObject> base;
    /// The object as last read from the platform, if it was read.
    std::optional<PlatformObject> current;
};

} // namespace Cardamomhill

#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why the registry refuses a call of its agent.
enum class ExecutionErrorCode : std::uint8_t {
    /// The key has no record that is running.
    NotRunning,
    /// The slot is not in a phase that allows the step.
    WrongPhase,
    /// Requests of the slot still run.
    NotDrained,
    /// The records to import exceed the limits.
    RegistryFull,
    /// An imported record belongs to another slot or occurs twice.
    BadRecord,
};

constexpr auto nameTable(ExecutionErrorCode)
{
    return std::to_array<NamedValue<ExecutionErrorCode>>({
        {ExecutionErrorCode::NotRunning, "the key has no running request"},
        {ExecutionErrorCode::WrongPhase, "the slot is in the wrong phase"},
        {ExecutionErrorCode::NotDrained, "requests of the slot still run"},
        {ExecutionErrorCode::RegistryFull, "the records exceed the limits of the registry"},
        {ExecutionErrorCode::BadRecord, "an imported record belongs to another slot or occurs twice"},
    });
}

/// The error of ExecutionRegistry. `subject` is the key or the slot.
struct ExecutionError {
    ExecutionErrorCode code;
    std::string subject;

    std::string message() const
    {
        return subject + ": " + std::string(nameOf(code));
    }
};

} // namespace Cardamomhill

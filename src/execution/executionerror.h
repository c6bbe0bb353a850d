#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why an operation of ExecutionRegistry failed.
enum class ExecutionErrorCode : std::uint8_t {
    /// The key has no record in the state Running.
    NotRunning,
    /// The phase of the slot does not allow the operation.
    WrongPhase,
    /// Requests of the slot are still running.
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
        {ExecutionErrorCode::WrongPhase, "the phase of the slot does not allow this operation"},
        {ExecutionErrorCode::NotDrained, "requests of the slot are still running"},
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

#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why the value of a field cannot be used.
enum class FieldProblem : std::uint8_t {
    /// The field is required.
    Missing,
    /// A number is negative, too large or not whole, or the value is no number.
    OutOfRange,
    UnknownValue,
    WrongType,
};

constexpr auto nameTable(FieldProblem)
{
    return std::to_array<NamedValue<FieldProblem>>({
        {FieldProblem::Missing, "missing"},
        {FieldProblem::OutOfRange, "out-of-range"},
        {FieldProblem::UnknownValue, "unknown-value"},
        {FieldProblem::WrongType, "wrong-type"},
    });
}

} // namespace Cardamomhill

#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why a slot table cannot be read or built.
enum class SlotTableErrorCode : std::uint8_t {
    NotAnObject,
    MissingField,
    UnknownField,
    WrongType,
    WrongCount,
    OutOfRange,
    EmptyName,
    UnknownState,
    NoOwner,
};

constexpr auto nameTable(SlotTableErrorCode)
{
    return std::to_array<NamedValue<SlotTableErrorCode>>({
        {SlotTableErrorCode::NotAnObject, "not a JSON object"},
        {SlotTableErrorCode::MissingField, "missing field"},
        {SlotTableErrorCode::UnknownField, "unknown field"},
        {SlotTableErrorCode::WrongType, "wrong type"},
        {SlotTableErrorCode::WrongCount, "wrong number of elements"},
        {SlotTableErrorCode::OutOfRange, "number out of range"},
        {SlotTableErrorCode::EmptyName, "empty name"},
        {SlotTableErrorCode::UnknownState, "unknown state"},
        {SlotTableErrorCode::NoOwner, "no backend server can own the slots"},
    });
}

/// The error of SlotTable, with the path to the wrong part of the JSON value, for example "slots[12]".
struct SlotTableError {
    SlotTableErrorCode code;
    std::string path;

    std::string message() const
    {
        return "slot table: " + path + (path.empty() ? "" : ": ") + std::string(nameOf(code));
    }
};

} // namespace Cardamomhill

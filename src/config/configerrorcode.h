#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

enum class ConfigErrorCode : std::uint8_t {
    InvalidName,
    MalformedJson,
    MissingField,
    OutOfRange,
    UnknownField,
    UnknownKind,
    UnknownReference,
    UnknownValue,
    WrongType,
};

constexpr auto nameTable(ConfigErrorCode)
{
    return std::to_array<NamedValue<ConfigErrorCode>>({
        {ConfigErrorCode::InvalidName, "invalid name"},
        {ConfigErrorCode::MalformedJson, "malformed JSON"},
        {ConfigErrorCode::MissingField, "missing field"},
        {ConfigErrorCode::OutOfRange, "value out of range"},
        {ConfigErrorCode::UnknownField, "unknown field"},
        {ConfigErrorCode::UnknownKind, "unknown kind of object"},
        {ConfigErrorCode::UnknownReference, "reference to an object that does not exist"},
        {ConfigErrorCode::UnknownValue, "unknown value"},
        {ConfigErrorCode::WrongType, "wrong type"},
    });
}

} // namespace Cardamomhill

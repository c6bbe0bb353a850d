#pragma once

#include "core/nametable.h"
#include "objectstore/objectkey.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class PlatformErrorCode : std::uint8_t {
    /// The text is not a JSON object.
    NotAnObject,
    /// A field maintained by cardamomhill itself has the wrong type, is empty or is set where it must not be.
    ReservedField,
    /// The object is larger than the platform accepts.
    TooLarge,
};

constexpr auto nameTable(PlatformErrorCode)
{
    return std::to_array<NamedValue<PlatformErrorCode>>({
        {PlatformErrorCode::NotAnObject, "not-an-object"},
        {PlatformErrorCode::ReservedField, "reserved-field"},
        {PlatformErrorCode::TooLarge, "too-large"},
    });
}

/// Why an object cannot be written or read.
struct PlatformError {
    PlatformErrorCode code = PlatformErrorCode::NotAnObject;
    ObjectKey key;
    std::string detail;

    std::string message() const
    {
        return key.kind + "/" + key.name + ": " + std::string(nameOf(code)) + ": " + detail;
    }
};

} // namespace Cardamomhill

#pragma once

#include "core/result.h"
#include "objectstore/objectpage.h"
#include "wire/wireerror.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// The form in which entry hosts pass objects on to each other: msgpack, an array of the format's number, the revision,
/// the objects (name, version and value each) and the names of those that were removed.
std::string packPage(const ObjectPage &page);

/// @param kind of all objects in the page
Result<ObjectPage, WireError> unpackPage(const std::string &kind, std::string_view bytes);

} // namespace Cardamomhill

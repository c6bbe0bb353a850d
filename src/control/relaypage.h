#pragma once

#include "core/result.h"
#include "objectstore/objectpage.h"
#include "wire/wireerror.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Encodes objects for another entry host: a msgpack array of the format number, the era, the number of the revision,
/// the objects (name, version and value each) and the names of removed objects.
std::string packPage(const ObjectPage &page);

/// Decodes a page. The encoded objects do not include their kind.
///
/// @param kind kind of all objects in the page
Result<ObjectPage, WireError> unpackPage(const std::string &kind, std::string_view bytes);

} // namespace Cardamomhill

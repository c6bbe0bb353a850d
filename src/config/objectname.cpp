#include "config/objectname.h"

#include <algorithm>

namespace Cardamomhill::internal
{

namespace
{

constexpr std::size_t MaxNameLength = 63;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.';
}

} // namespace

bool isValidObjectName(std::string_view name)
{
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
}

} // namespace Cardamomhill::internal

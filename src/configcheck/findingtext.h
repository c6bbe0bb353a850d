#pragma once

#include <string>

namespace Cardamomhill
{

struct Finding;

/// The finding as one line of names and values, without a line break. A value that contains anything but letters,
/// digits and a few signs is written as a JSON string in ASCII, so that no document can add lines or control a
/// terminal.
std::string textOf(const Finding &finding);

} // namespace Cardamomhill

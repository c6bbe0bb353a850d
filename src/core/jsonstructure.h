#pragma once

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// A member of a JSON object. Both parts refer to the text that was read.
struct JsonMember {
    /// Without quotes and with escapes as written.
    std::string_view name;
    std::string_view value;
};

/// The members of a JSON object as far as the structure of its text is sound.
struct JsonMembers {
    std::vector<JsonMember> members;
    /// Whether the text is one object. If not, the last member's value may reach to the end of the text.
    bool isWhole = false;

    /// The value of the last member of that name; empty if there is none.
    std::string_view value(std::string_view name) const;
};

/// Position of the first character that is not white space, from `start` on.
std::size_t skipWhiteSpace(std::string_view text, std::size_t start);

/// Position after the JSON string that starts at `start`, or npos if none does or it does not end.
std::size_t endOfString(std::string_view text, std::size_t start);

/// Position after the JSON value that starts at `start`, or npos if its structure is broken or it is nested too deep.
///
/// Reads brackets, commas, colons and quotes only, without recursion: strings may contain any bytes and escapes, and
/// numbers any digits. A value of sound structure therefore has an end even if it cannot be parsed.
std::size_t
endOfValue(std::string_view text, std::size_t start, std::size_t maxDepth = std::numeric_limits<std::size_t>::max());

JsonMembers membersOf(std::string_view text);

/// A JSON string in which U+FFFD takes the place of each escaped surrogate without its pair, which no text can contain.
std::string replaceLoneSurrogates(std::string_view text);

} // namespace Cardamomhill

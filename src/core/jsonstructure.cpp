#include "core/jsonstructure.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

namespace
{

constexpr auto NotFound = std::string_view::npos;
constexpr std::string_view WhiteSpace = " \t\r\n";

char characterAt(std::string_view text, std::size_t position)
{
    return position < text.size() ? text[position] : '\0';
}

bool isOfLiteral(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z') || character == '+' || character == '-' || character == '.';
}

/// Position after the number, `true`, `false` or `null` that starts at `start`.
std::size_t endOfLiteral(std::string_view text, std::size_t start)
{
    const auto *const end = std::find_if_not(text.begin() + std::min(start, text.size()), text.end(), isOfLiteral);
    const auto position = static_cast<std::size_t>(end - text.begin());
    return position == start ? NotFound : position;
}

/// Position of the value after the member's name that starts at `start`.
std::size_t startOfMemberValue(std::string_view text, std::size_t start)
{
    const auto nameEnd = endOfString(text, start);
    if (nameEnd == NotFound) {
        return NotFound;
    }
    const auto colon = skipWhiteSpace(text, nameEnd);
    return characterAt(text, colon) == ':' ? skipWhiteSpace(text, colon + 1) : NotFound;
}

/// Length of an escape \uXXXX.
constexpr std::size_t UnicodeEscapeLength = 6;

/// Whether a text begins with an escape \uXXXX whose value lies between `first` and `last`.
bool startsWithEscape(std::string_view text, std::uint16_t first, std::uint16_t last)
{
    constexpr int HexBase = 16;
    const auto escape = text.substr(0, UnicodeEscapeLength);
    if (escape.size() < UnicodeEscapeLength || !escape.starts_with("\\u")) {
        return false;
    }
    std::uint16_t value = 0;
    const auto *const end = escape.data() + escape.size();
    const auto read = std::from_chars(escape.data() + 2, end, value, HexBase);
    return read.ptr == end && value >= first && value <= last;
}

bool startsWithLeadingSurrogate(std::string_view text)
{
    return startsWithEscape(text, 0xD800, 0xDBFF);
}

bool startsWithTrailingSurrogate(std::string_view text)
{
    return startsWithEscape(text, 0xDC00, 0xDFFF);
}

/// Reads one value; see endOfValue().
class ValueScanner
{
public:
    ValueScanner(std::string_view text, std::size_t start, std::size_t maxDepth)
        : m_text(text)
        , m_position(skipWhiteSpace(text, start))
        , m_maxDepth(maxDepth)
    {
    }

    std::size_t end()
    {
        do {
            beginValue();
            while (m_isAfterValue && !m_openBrackets.empty()) {
                continueContainer();
            }
        } while (m_position != NotFound && !m_openBrackets.empty());
        return m_position;
    }

private:
    /// Reads a value without parts, or the beginning of an array or object.
    void beginValue()
    {
        const char character = characterAt(m_text, m_position);
        m_isAfterValue = true;
        if (character == '"') {
            m_position = endOfString(m_text, m_position);
        } else if (character != '[' && character != '{') {
            m_position = endOfLiteral(m_text, m_position);
        } else if (m_openBrackets.size() >= m_maxDepth) {
            m_position = NotFound;
        } else {
            beginContainer(character);
        }
        m_isAfterValue = m_isAfterValue && m_position != NotFound;
    }

    void beginContainer(char bracket)
    {
        m_position = skipWhiteSpace(m_text, m_position + 1);
        if (characterAt(m_text, m_position) == closing(bracket)) {
            ++m_position;
            return;
        }
        m_openBrackets.push_back(bracket);
        if (bracket == '{') {
            m_position = startOfMemberValue(m_text, m_position);
        }
        m_isAfterValue = false;
    }

    /// Reads the end of the innermost container, or the comma before its next value.
    void continueContainer()
    {
        m_position = skipWhiteSpace(m_text, m_position);
        const char character = characterAt(m_text, m_position);
        const char bracket = m_openBrackets.back();
        if (character == closing(bracket)) {
            m_openBrackets.pop_back();
            ++m_position;
            return;
        }
        m_isAfterValue = false;
        m_position = character == ',' ? skipWhiteSpace(m_text, m_position + 1) : NotFound;
        if (m_position != NotFound && bracket == '{') {
            m_position = startOfMemberValue(m_text, m_position);
        }
    }

    static char closing(char bracket)
    {
        return bracket == '{' ? '}' : ']';
    }

    std::string_view m_text;
    /// NotFound once the structure is broken.
    std::size_t m_position;
    std::size_t m_maxDepth;
    std::string m_openBrackets;
    bool m_isAfterValue = false;
};

} // namespace

std::string_view JsonMembers::value(std::string_view name) const
{
    const auto found = std::find_if(
        members.rbegin(), members.rend(), [name](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

std::size_t skipWhiteSpace(std::string_view text, std::size_t start)
{
    return std::min(text.find_first_not_of(WhiteSpace, start), text.size());
}

std::size_t endOfString(std::string_view text, std::size_t start)
{
    if (characterAt(text, start) != '"') {
        return NotFound;
    }
    for (auto position = start + 1; position < text.size(); ++position) {
        if (text[position] == '"') {
            return position + 1;
        }
        position += text[position] == '\\' ? 1 : 0;
    }
    return NotFound;
}

std::size_t endOfValue(std::string_view text, std::size_t start, std::size_t maxDepth)
{
    return ValueScanner(text, start, maxDepth).end();
}

JsonMembers membersOf(std::string_view text)
{
    JsonMembers result;
    auto position = skipWhiteSpace(text, 0);
    if (characterAt(text, position) != '{') {
        return result;
    }
    position = skipWhiteSpace(text, position + 1);
    bool isAtEnd = characterAt(text, position) == '}';
    while (!isAtEnd) {
        const auto valueStart = startOfMemberValue(text, position);
        if (valueStart == NotFound) {
            return result;
        }
        const auto name = text.substr(position + 1, endOfString(text, position) - position - 2);
        const auto valueEnd = endOfValue(text, valueStart);
        result.members.push_back(
            {name, text.substr(valueStart, valueEnd == NotFound ? NotFound : valueEnd - valueStart)});
        position = valueEnd == NotFound ? text.size() : skipWhiteSpace(text, valueEnd);
        isAtEnd = characterAt(text, position) == '}';
        if (!isAtEnd && characterAt(text, position) != ',') {
            return result;
        }
        position = isAtEnd ? position : skipWhiteSpace(text, position + 1);
    }
    result.isWhole = skipWhiteSpace(text, position + 1) == text.size();
    return result;
}

std::string replaceLoneSurrogates(std::string_view text)
{
    constexpr std::string_view Replacement = "\\ufffd";
    std::string result;
    while (!text.empty()) {
        const bool isLeading = startsWithLeadingSurrogate(text);
        const bool isPair = isLeading && startsWithTrailingSurrogate(text.substr(UnicodeEscapeLength));
        if (!isPair && (isLeading || startsWithTrailingSurrogate(text))) {
            result += Replacement;
            text.remove_prefix(UnicodeEscapeLength);
            continue;
        }
        // The second character of an escape is not the beginning of another one.
        const std::size_t escapeLength = text.front() == '\\' ? 2 : 1;
        const auto length = std::min(isPair ? 2 * UnicodeEscapeLength : escapeLength, text.size());
        result += text.substr(0, length);
        text.remove_prefix(length);
    }
    return result;
}

} // namespace Cardamomhill

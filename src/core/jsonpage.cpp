#include "core/jsonpage.h"

#include "core/jsonstructure.h"
#include "core/parsejson.h"

#include <algorithm>
#include <optional>
#include <string>

namespace Cardamomhill
{

namespace
{

constexpr auto NotFound = std::string_view::npos;
/// Longest text after the array that is considered where the array's end has to be searched.
constexpr std::size_t MaxTailBytes = 4096;

bool isOneOf(const std::vector<std::string_view> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

char characterAt(std::string_view text, std::size_t position)
{
    return position < text.size() ? text[position] : '\0';
}

/// Splits one page; see splitPage().
class PageSplitter
{
public:
    PageSplitter(std::string_view text, const JsonPageNames &names)
        : m_text(text)
        , m_names(names)
    {
    }

    Result<JsonPage, JsonError> split()
    {
        if (!findArray()) {
            auto envelope = parseJson(m_text);
            if (envelope.has_error()) {
                return failure(envelope.error());
            }
            return JsonPage{std::move(envelope.value()), {}};
        }
        if (auto page = splitSound()) {
            return std::move(*page);
        }
        if (auto page = splitBroken()) {
            return std::move(*page);
        }
        return failure(JsonError{JsonErrorCode::Malformed, m_arrayStart});
    }

private:
    /// Finds the array, and the members before it. Returns false if there is none.
    bool findArray()
    {
        auto position = skipWhiteSpace(m_text, 0);
        if (characterAt(m_text, position) != '{') {
            return false;
        }
        const auto firstMember = position + 1;
        do {
            const auto nameStart = skipWhiteSpace(m_text, position + 1);
            const auto nameEnd = endOfString(m_text, nameStart);
            const auto colon = nameEnd == NotFound ? NotFound : skipWhiteSpace(m_text, nameEnd);
            if (characterAt(m_text, colon) != ':') {
                return false;
            }
            const auto value = skipWhiteSpace(m_text, colon + 1);
            const auto name = m_text.substr(nameStart + 1, nameEnd - nameStart - 2);
            if (isOneOf(m_names.arrays, name) && characterAt(m_text, value) == '[') {
                // Without the comma before the array's name.
                m_head = m_text.substr(firstMember, position == firstMember - 1 ? 0 : position - firstMember);
                m_arrayStart = value + 1;
                return true;
            }
            const auto end = endOfValue(m_text, value);
            position = end == NotFound ? NotFound : skipWhiteSpace(m_text, end);
        } while (characterAt(m_text, position) == ',');
        return false;
    }

    /// Splits the array if the structure of the whole page is sound.
    std::optional<JsonPage> splitSound() const
    {
        JsonPage page;
        auto position = skipWhiteSpace(m_text, m_arrayStart);
        while (characterAt(m_text, position) != ']' || !page.elements.empty()) {
            const auto end = endOfValue(m_text, position);
            if (end == NotFound) {
                return std::nullopt;
            }
            page.elements.push_back(m_text.substr(position, end - position));
            position = skipWhiteSpace(m_text, end);
            if (characterAt(m_text, position) != ',') {
                break;
            }
            position = skipWhiteSpace(m_text, position + 1);
        }
        if (characterAt(m_text, position) != ']') {
            return std::nullopt;
        }
        auto envelope = envelopeWithTail(position + 1);
        if (!envelope) {
            return std::nullopt;
        }
        page.envelope = std::move(*envelope);
        return page;
    }

    /// Splits the array if some element's structure is broken, for example because its text was cut off.
    std::optional<JsonPage> splitBroken() const
    {
        for (auto bracket = m_text.rfind(']');
             bracket != NotFound && bracket >= m_arrayStart && m_text.size() - bracket <= MaxTailBytes;
             bracket = bracket == 0 ? NotFound : m_text.rfind(']', bracket - 1)) {
            if (auto envelope = envelopeWithTail(bracket + 1)) {
                return JsonPage{std::move(*envelope), elementsUntil(bracket)};
            }
        }
        return std::nullopt;
    }

    /// The envelope, if the text from `start` on is the end of the page.
    std::optional<nlohmann::json> envelopeWithTail(std::size_t start) const
    {
        auto tail = m_text.substr(skipWhiteSpace(m_text, start));
        if (!tail.starts_with(',') && !tail.starts_with('}')) {
            return std::nullopt;
        }
        // An array at the beginning leaves a comma before the first member.
        tail.remove_prefix(m_head.empty() && tail.front() == ',' ? 1 : 0);
        auto envelope = parseJson("{" + std::string(m_head) + std::string(tail));
        return envelope.has_value() && envelope.value().is_object() ? std::optional(std::move(envelope.value()))
                                                                    : std::nullopt;
    }

    std::vector<std::string_view> elementsUntil(std::size_t arrayEnd) const
    {
        const auto text = m_text.substr(0, arrayEnd);
        std::vector<std::string_view> elements;
        auto position = skipWhiteSpace(text, m_arrayStart);
        while (position < text.size()) {
            auto end = endOfSoundElement(text, position);
            if (end == NotFound) {
                end = nextElement(text, position);
            }
            elements.push_back(text.substr(position, end - position));
            const auto comma = skipWhiteSpace(text, end);
            position = comma < text.size() ? skipWhiteSpace(text, comma + 1) : comma;
        }
        return elements;
    }

    /// Position after the element, or NotFound if it is broken or may contain further elements.
    std::size_t endOfSoundElement(std::string_view text, std::size_t start) const
    {
        // The limit keeps the time for a text full of unclosed brackets proportional to its length.
        const auto end = endOfValue(text, start, MaxJsonDepth);
        if (end == NotFound) {
            return NotFound;
        }
        const auto next = skipWhiteSpace(text, end);
        if (next < text.size() && text[next] != ',') {
            return NotFound;
        }
        // A string that was cut off may have swapped what is within strings and what is outside of them.
        const auto element = text.substr(start, end - start);
        const bool containsOther = nextElement(element, 0) < element.size();
        return containsOther && parseJson(element).has_error() ? NotFound : end;
    }

    /// Position of the comma before the next element, or the end of the text.
    std::size_t nextElement(std::string_view text, std::size_t start) const
    {
        for (auto comma = text.find(',', start); comma != NotFound; comma = text.find(',', comma + 1)) {
            const auto bracket = skipWhiteSpace(text, comma + 1);
            const auto name = skipWhiteSpace(text, bracket + 1);
            if (characterAt(text, bracket) != '{' || characterAt(text, name) != '"') {
                continue;
            }
            const auto nameEnd = text.find('"', name + 1);
            if (nameEnd != NotFound && isOneOf(m_names.elementMembers, text.substr(name + 1, nameEnd - name - 1))) {
                return comma;
            }
        }
        return text.size();
    }

    std::string_view m_text;
    const JsonPageNames &m_names;
    /// The members before the array.
    std::string_view m_head;
    /// Position after the array's opening bracket.
    std::size_t m_arrayStart = 0;
};

} // namespace

Result<JsonPage, JsonError> splitPage(std::string_view text, const JsonPageNames &names)
{
    return PageSplitter(text, names).split();
}

} // namespace Cardamomhill

#include "core/parsejson.h"

#include <optional>

namespace Cardamomhill
{

namespace
{

/// Position of the first bracket that is nested too deep. Strings are skipped; errors in the text are left to the
/// parser, which finds them before it gets to any bracket that is counted wrongly because of them.
std::optional<std::size_t> firstTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        const char character = text[offset];
        if (isInString) {
            offset += character == '\\' ? 1 : 0;
            isInString = character != '"';
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > MaxJsonDepth) {
                return offset;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return std::nullopt;
}

} // namespace

Result<nlohmann::json, JsonError> parseJson(std::string_view text)
{
    if (const auto offset = firstTooDeep(text)) {
        return failure(JsonError{JsonErrorCode::TooDeep, *offset});
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        return failure(JsonError{JsonErrorCode::Malformed, error.byte});
    } catch (const nlohmann::json::exception &) {
        return failure(JsonError{JsonErrorCode::NumberTooLarge, 0});
    }
}

} // namespace Cardamomhill

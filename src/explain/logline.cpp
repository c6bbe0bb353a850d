#include "explain/logline.h"

#include <algorithm>
#include <cctype>

namespace Cardamomhill
{

namespace
{

constexpr std::string_view TimePattern = "0000-00-00 00:00:00,000";
constexpr std::string_view EventMarker = " event=";

/// Whether the text has the form of TimePattern: any digit where the pattern has 0, else the same character.
bool isTime(std::string_view text)
{
    return text.size() == TimePattern.size()
        && std::equal(text.begin(), text.end(), TimePattern.begin(), [](char actual, char expected) {
               return expected == '0' ? std::isdigit(static_cast<unsigned char>(actual)) != 0 : actual == expected;
           });
}

/// The last timestamp that ends at or before a position; empty if there is none.
std::string_view timeBefore(std::string_view text, std::size_t end)
{
    for (std::size_t start = end; start-- > 0;) {
        const auto candidate = text.substr(start, TimePattern.size());
        if (start + TimePattern.size() <= end && isTime(candidate)) {
            return candidate;
        }
    }
    return {};
}

/// The last word of a text; empty if there is none.
std::string_view lastWord(std::string_view text)
{
    const auto end = text.find_last_not_of(' ');
    if (end == std::string_view::npos) {
        return {};
    }
    text = text.substr(0, end + 1);
    return text.substr(text.find_last_of(' ') + 1);
}

/// Removes a value, quoted or not, from the front of the text. Returns false if the closing quote is missing.
bool removeValue(std::string_view &text, std::string &value)
{
    if (!text.starts_with('"')) {
        const auto end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return true;
    }
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return true;
        }
        if (text[i] == '\\' && i + 1 < text.size()) {
            ++i;
        }
        value += text[i];
    }
    return false;
}

} // namespace

std::string LogLine::field(std::string_view name) const
{
    const auto found
        = std::find_if(fields.begin(), fields.end(), [name](const auto &field) { return field.first == name; });
    return found == fields.end() ? std::string() : found->second;
}

Result<LogLine, LogLineError> parseLogLine(std::string_view text)
{
    const auto mark = text.find(EventMarker);
    if (mark == std::string_view::npos) {
        return failure(LogLineError::Foreign);
    }
    LogLine line;
    const auto time = timeBefore(text, mark);
    if (time.empty()) {
        return failure(LogLineError::Truncated);
    }
    line.time = time;
    line.source = lastWord(text.substr(0, static_cast<std::size_t>(time.data() - text.data())));
    text.remove_prefix(mark + EventMarker.size());
    if (!removeValue(text, line.event) || line.event.empty()) {
        return failure(LogLineError::Truncated);
    }
    while (!text.empty()) {
        text.remove_prefix(1);
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            return failure(LogLineError::Truncated);
        }
        std::string name(text.substr(0, equals));
        std::string value;
        text.remove_prefix(equals + 1);
        if (!removeValue(text, value)) {
            return failure(LogLineError::Truncated);
        }
        line.fields.emplace_back(std::move(name), std::move(value));
    }
    return line;
}

} // namespace Cardamomhill

#include "net/retryafter.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <string>

namespace Cardamomhill
{

namespace
{

constexpr Seconds MaxRetryAfter{24 * 3600};

/// Parses digits with at most one decimal point. std::from_chars() alone would also accept "-1", "1e9" and "inf".
std::optional<double> parseSeconds(std::string_view text)
{
    const auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
    const bool isPlain = std::all_of(text.begin(), text.end(), [&isDigit](char c) { return isDigit(c) || c == '.'; });
    if (text.empty() || !isPlain || !isDigit(text.front())) {
        return std::nullopt;
    }
    double seconds = 0;
    const char *const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, seconds);
    if (read.ptr != end) {
        return std::nullopt;
    }
    // A number that does not fit into a double is far beyond the limit.
    const auto max = static_cast<double>(MaxRetryAfter.count());
    return read.ec == std::errc::result_out_of_range ? max : std::min(seconds, max);
}

} // namespace

std::optional<std::chrono::sys_seconds> parseHttpDate(std::string_view text)
{
    const std::string date(text);
    std::tm fields{};
    const char *const end = strptime(date.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &fields);
    if (end == nullptr || end != date.c_str() + date.size()) {
        return std::nullopt;
    }
    return std::chrono::sys_seconds(Seconds(timegm(&fields)));
}

std::optional<Milliseconds> parseRetryAfter(std::string_view text, std::chrono::sys_seconds now)
{
    if (const auto seconds = parseSeconds(text)) {
        return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(*seconds));
    }
    const auto date = parseHttpDate(text);
    if (!date) {
        return std::nullopt;
    }
    return std::clamp<Milliseconds>(*date - now, Milliseconds(0), MaxRetryAfter);
}

} // namespace Cardamomhill

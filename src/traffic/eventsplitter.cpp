#include "traffic/eventsplitter.h"

namespace Cardamomhill
{

namespace
{

/// The position after the empty line that ends the first event, or npos.
std::size_t endOfEvent(std::string_view text)
{
    std::size_t lineStart = 0;
    while (true) {
        const auto lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        const auto line = text.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r") {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
}

/// The value of the first `id` field, or an empty string.
std::string idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        auto lineEnd = event.find('\n', lineStart);
        lineEnd = lineEnd == std::string_view::npos ? event.size() : lineEnd;
        auto line = event.substr(lineStart, lineEnd - lineStart);
        if (line.starts_with(Field)) {
            line.remove_prefix(Field.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            if (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            return std::string(line);
        }
        lineStart = lineEnd + 1;
    }
    return {};
}

} // namespace

void EventSplitter::append(std::string_view data)
{
    m_pending += data;
}

std::optional<StreamEvent> EventSplitter::next()
{
    const auto end = endOfEvent(m_pending);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    StreamEvent event;
    if (end == m_pending.size()) {
        event.bytes.swap(m_pending);
    } else {
        event.bytes = m_pending.substr(0, end);
        m_pending.erase(0, end);
    }
    event.id = idOf(event.bytes);
    event.hasData = event.bytes.starts_with("data") || event.bytes.find("\ndata") != std::string::npos;
    return event;
}

std::size_t EventSplitter::pendingBytes() const
{
    return m_pending.size();
}

void EventSplitter::clear()
{
    m_pending.clear();
}

} // namespace Cardamomhill

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// A complete event of a stream, byte for byte as received.
struct StreamEvent {
    std::string bytes;
    /// The value of its `id` field; empty if it has none.
    std::string id;
    /// Whether it has a `data` field. Comments that keep a connection open have none.
    bool hasData = false;
};

/// Splits the body of an event stream into complete events. Only these are passed on, so that a broken stream ends
/// between two events.
class EventSplitter
{
public:
    void append(std::string_view data);

    /// The next complete event, or nothing if more data is needed.
    std::optional<StreamEvent> next();

    /// Bytes received of an incomplete event.
    std::size_t pendingBytes() const;

    /// Discards an incomplete event, before the stream is resumed from another server.
    void clear();

private:
    std::string m_pending;
};

} // namespace Cardamomhill

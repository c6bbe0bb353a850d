#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// One whole event of a stream, as its bytes were received.
struct StreamEvent {
    std::string bytes;
    /// The value of its `id` field; empty if it has none.
    std::string id;
};

/// Cuts the body of an event stream into whole events, so that a broken stream ends between two of them.
class EventSplitter
{
public:
    void append(std::string_view piece);

    /// The next whole event, or nothing until more is appended.
    std::optional<StreamEvent> next();

    /// Bytes of an event that has not ended yet.
    std::size_t pendingBytes() const;

    /// Forgets a partial event, before the stream goes on from another server.
    void clear();

private:
    std::string m_pending;
};

} // namespace Cardamomhill

#pragma once

#include "core/nametable.h"
#include "membership/controladdress.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Transport of a message.
enum class MessageChannel : std::uint8_t {
    /// A single datagram, which may be lost.
    Datagram,
    /// A framed connection, for messages above the size of a datagram.
    Connection,
};

constexpr auto nameTable(MessageChannel)
{
    return std::to_array<NamedValue<MessageChannel>>({
        {MessageChannel::Datagram, "datagram"},
        {MessageChannel::Connection, "connection"},
    });
}

/// A message to be sent. The protocol recovers from its loss, which the transport need not report.
struct OutgoingMessage {
    ControlAddress to;
    MessageChannel channel = MessageChannel::Datagram;
    std::string bytes;
};

} // namespace Cardamomhill

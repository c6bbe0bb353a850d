#pragma once

#include "core/nametable.h"
#include "membership/nodeaddress.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// How a message travels.
enum class MessageChannel : std::uint8_t {
    /// One datagram, which may be lost.
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

/// A message to be sent. Its loss is repaired; the sender need not report it.
struct OutgoingMessage {
    NodeAddress to;
    MessageChannel channel = MessageChannel::Datagram;
    std::string bytes;
};

} // namespace Cardamomhill

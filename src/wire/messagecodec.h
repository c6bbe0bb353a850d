#pragma once

#include "core/result.h"
#include "wire/message.h"
#include "wire/wireerror.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Version of the protocol between entry processes and agents. Messages of other versions are rejected.
inline constexpr std::uint64_t ProtocolVersion = 1;

/// Size of the length prefix of a message on a connection. The length is in network byte order.
inline constexpr std::size_t LengthPrefixBytes = 4;

/// The largest message that a connection accepts: a request body of 1 MiB and 256 KiB for the other members.
inline constexpr std::size_t MaxMessageBytes = 1'310'720;

/// Encodes a message without its length prefix.
std::string encodeMessage(const Message &message);

/// Encodes a message with its length prefix, as it is written to a connection.
std::string encodeFramed(const Message &message);

Result<Message, WireError> decodeMessage(std::string_view bytes);

/// Decodes a length prefix. Lengths above MaxMessageBytes are rejected.
Result<std::size_t, WireError> decodeLength(std::string_view prefix);

} // namespace Cardamomhill

#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class NetErrorCode : std::uint8_t {
    AddressInUse,
    BodyTooLarge,
    Cancelled,
    Closed,
    ConnectFailed,
    ConnectRefused,
    HeaderTooLarge,
    InvalidAddress,
    MalformedMessage,
    Overloaded,
    ReadFailed,
    Unresponsive,
    TimedOut,
    WriteFailed,
};

constexpr auto nameTable(NetErrorCode)
{
    return std::to_array<NamedValue<NetErrorCode>>({
        {NetErrorCode::AddressInUse, "address-in-use"},
        {NetErrorCode::BodyTooLarge, "body-too-large"},
        {NetErrorCode::Cancelled, "cancelled"},
        {NetErrorCode::Closed, "closed"},
        {NetErrorCode::ConnectFailed, "connect-failed"},
        {NetErrorCode::ConnectRefused, "connect-refused"},
        {NetErrorCode::HeaderTooLarge, "header-too-large"},
        {NetErrorCode::InvalidAddress, "invalid-address"},
        {NetErrorCode::MalformedMessage, "malformed-message"},
        {NetErrorCode::Overloaded, "overloaded"},
        {NetErrorCode::ReadFailed, "read-failed"},
        {NetErrorCode::Unresponsive, "silent"},
        {NetErrorCode::TimedOut, "timed-out"},
        {NetErrorCode::WriteFailed, "write-failed"},
    });
}

/// Why a socket operation failed.
struct NetError {
    NetErrorCode code = NetErrorCode::Closed;
    /// Text of the error from the operating system or from the message codec; may be empty.
    std::string cause;

    std::string message() const
    {
        return std::string(nameOf(code)) + (cause.empty() ? "" : ": " + cause);
    }
};

} // namespace Cardamomhill

#pragma once

#include "net/asio.h"

#include <array>
#include <string>

namespace Cardamomhill
{

/// All received data, followed by "closed" if the peer has closed the connection or "reset" if it was reset. Does not
/// wait for more.
inline std::string receivedBytes(tcp::socket &socket)
{
    socket.non_blocking(true);
    std::string all;
    SystemError error;
    while (!error) {
        std::array<char, 4096> piece{};
        const auto size = socket.read_some(asio::buffer(piece), error);
        all.append(piece.data(), size);
    }
    return all + (error == asio::error::eof ? "closed" : error == asio::error::would_block ? "" : "reset");
}

} // namespace Cardamomhill

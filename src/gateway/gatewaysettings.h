#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Settings of `cardamomhill gateway`.
struct GatewaySettings {
    HostId host;
    FailureDomainId failureDomain;
    /// Where callers connect.
    boost::asio::ip::tcp::endpoint listen;
    /// Health, readiness and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Where other entry hosts send their state.
    boost::asio::ip::tcp::endpoint peerListen;
    boost::asio::ip::tcp::endpoint platform;
    /// Second attempts that all entry hosts together may make in a window beyond a fixed part of the calls.
    std::uint32_t retrySlack = 100;
    /// First attempts that pay for one second attempt.
    std::uint32_t callsPerRetry = 6;
    /// Time between readiness going false and closing the listening socket.
    Milliseconds drainGrace{3000};
    /// Whether this host takes part in changing the expert maps of engine groups. Needs engines that refuse orders with
    /// an old fencing token.
    bool coordinatesGroups = false;
    /// Rate of this host's link, in Mbit/s. Orders to engines are paced by it.
    double linkMegabitsPerSecond = 1000;
    LogLevel logLevel = LogLevel::Info;
};

Result<GatewaySettings, SettingsErrors> readGatewaySettings(const std::string &file);

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Settings of `cardamomhill entry`.
struct EntrySettings {
    HostId host;
    FailureDomainId failureDomain;
    /// Where callers connect.
    boost::asio::ip::tcp::endpoint listen;
    /// Health, readiness and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Where other processes of the system send control messages.
    boost::asio::ip::tcp::endpoint controlListen;
    boost::asio::ip::tcp::endpoint platform;
    /// Control addresses of other entry processes of the failure domain, to find the rest from.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    std::uint32_t trafficThreads = 1;
    /// Requests in progress at once, over all traffic threads.
    std::uint32_t concurrency = 1024;
    /// Time between readiness going false and closing the listening socket.
    Milliseconds drainGrace{3000};
    LogLevel logLevel = LogLevel::Info;
};

Result<EntrySettings, SettingsErrors> readEntrySettings(const std::string &file);

} // namespace Cardamomhill

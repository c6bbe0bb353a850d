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
    /// Accepts connections from callers.
    boost::asio::ip::tcp::endpoint listen;
    /// Serves health, readiness and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Receives control messages from other processes of the system.
    boost::asio::ip::tcp::endpoint controlListen;
    /// Address of the platform's object API.
    boost::asio::ip::tcp::endpoint platform;
    /// Control addresses of some entry processes of the same failure domain, from which the others are discovered.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    std::uint32_t trafficThreads = 1;
    /// Limit on requests in progress, over all traffic threads together.
    std::uint32_t concurrency = 1024;
    /// Memory of this host. The bodies of requests and their copies for agents may use a quarter of it, over all
    /// traffic threads together. The default allows for bodies of the largest size on all connections.
    std::uint32_t memoryMegabytes = 65'536;
    /// Time between reporting "not ready" and closing the listening socket.
    Milliseconds drainGrace{3000};
    /// Time after SIGTERM at which the platform kills the process.
    Milliseconds terminationGrace{30'000};
    LogLevel logLevel = LogLevel::Info;
};

Result<EntrySettings, SettingsErrors> readEntrySettings(const std::string &file);

} // namespace Cardamomhill

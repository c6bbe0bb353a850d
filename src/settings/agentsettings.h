#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace Cardamomhill
{

/// Settings of `cardamomhill agent`.
struct AgentSettings {
    BackendServerId backendServer;
    FailureDomainId failureDomain;
    /// Accepts connections from entry processes.
    boost::asio::ip::tcp::endpoint listen;
    /// Serves health, readiness and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Receives the answers of entry processes to control messages.
    boost::asio::ip::tcp::endpoint controlListen;
    /// Address of the model engine or plain service on this host.
    boost::asio::ip::tcp::endpoint engine;
    /// Address of the platform's object API.
    boost::asio::ip::tcp::endpoint platform;
    /// Control addresses of some entry processes of the same failure domain, to contact first.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    /// Time after SIGTERM at which the platform kills the process.
    Milliseconds terminationGrace{30'000};
    LogLevel logLevel = LogLevel::Info;
};

Result<AgentSettings, SettingsErrors> readAgentSettings(const std::string &file);

} // namespace Cardamomhill

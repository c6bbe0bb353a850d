#pragma once

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
    /// Where entry processes connect.
    boost::asio::ip::tcp::endpoint listen;
    /// Health, readiness and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Where entry processes answer to control messages.
    boost::asio::ip::tcp::endpoint controlListen;
    /// The model engine or plain service on this host.
    boost::asio::ip::tcp::endpoint engine;
    boost::asio::ip::tcp::endpoint platform;
    /// Control addresses of entry processes of the failure domain.
    std::vector<boost::asio::ip::tcp::endpoint> seeds;
    LogLevel logLevel = LogLevel::Info;
};

Result<AgentSettings, SettingsErrors> readAgentSettings(const std::string &file);

} // namespace Cardamomhill

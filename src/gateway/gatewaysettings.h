#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"
#include "traffic/promptretention.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// Settings of `cardamomhill gateway`.
struct GatewaySettings {
    HostId host;
    FailureDomainId failureDomain;
    /// Address for callers.
    boost::asio::ip::tcp::endpoint listen;
    /// Address for health, readiness, status and metrics.
    boost::asio::ip::tcp::endpoint operatorListen;
    /// Address for other entry hosts: load notices over UDP and relayed store changes over TCP.
    boost::asio::ip::tcp::endpoint peerListen;
    boost::asio::ip::tcp::endpoint platform;
    /// Retries that all entry hosts together may make in a window for each call, and beyond that.
    double retryRatio = 0.2;
    std::uint32_t retrySlack = 100;
    Milliseconds retryWindow{10'000};
    /// Time between becoming not ready and closing the listening socket.
    Milliseconds drainGrace{3000};
    /// Time after SIGTERM at which the platform kills the process.
    Milliseconds terminationGrace{30'000};
    /// Whether this host may coordinate changes of the expert maps of engine groups. Requires engines that refuse
    /// orders with an old fencing token.
    bool coordinatesGroups = false;
    /// Bandwidth of this host's network link. The rate of orders to engines is limited by it.
    double linkMegabitsPerSecond = 1000;
    /// All entry hosts together may send `coldOvershoot` times the rate of its service plus `coldSlack` calls to a cold
    /// server in any second. Without both, calls to cold servers are not limited.
    std::optional<double> coldOvershoot;
    std::optional<double> coldSlack;
    /// How long the engines hold the prompts of calls.
    PromptRetention promptRetention = PromptRetention::Running;
    /// Whether streams go less to a group whose steps exceed the pause objective while another group's do not.
    bool selectsGroups = false;
    /// Time within which calls to an evacuated failure domain must stop. Evacuations are followed only if it is set.
    std::optional<Milliseconds> evacuationLimit;
    /// How long an engine holds the calls of a group that has lost a rank, before it refuses them. Outages of a whole
    /// engine service are noticed within a part of it, and only if it is set.
    std::optional<Milliseconds> engineStall;
    /// Memory of this host. The bodies of requests may together use a part of it. The default allows for a body of
    /// 4 MiB on each of 4096 connections, which no caller can exceed.
    std::uint32_t memoryMegabytes = 65'536;
    /// Descriptors that this process may open. The number of callers' connections is limited by it; the default allows
    /// for 4096.
    std::uint32_t maxDescriptors = 8'392;
    LogLevel logLevel = LogLevel::Info;

    /// The fraction of the host's memory that bodies of requests may take. The rest is for the connections of callers,
    /// for answers and for what the process knows of servers and other hosts.
    static constexpr std::size_t BodyMemoryDivisor = 4;

    /// Bytes that the bodies of all requests may use together.
    std::size_t bodyBudgetBytes() const
    {
        constexpr std::size_t BytesPerMegabyte = 1024 * 1024;
        return memoryMegabytes * BytesPerMegabyte / BodyMemoryDivisor;
    }
};

Result<GatewaySettings, SettingsErrors> readGatewaySettings(const std::string &file);

} // namespace Cardamomhill

#pragma once

#include "agent/agentserver.h"
#include "bench/relay/burstserver.h"
#include "config/configurationbuilder.h"
#include "config/tokenhash.h"
#include "entry/trafficthread.h"
#include "metrics/metricsregistry.h"
#include "platform/versionedobject.h"
#include "settings/entrysettings.h"
#include "standins/backendservice.h"

#include <boost/asio/executor_work_guard.hpp>

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Cardamomhill
{

/// One entry traffic thread, two agents, a stand-in engine and a burst server in one process, each on a thread of its
/// own, connected over loopback as in production. No platform: the configuration is handed in.
class RelayFleet
{
public:
    static constexpr std::uint16_t EnginePort = 28501;
    static constexpr std::uint16_t BurstPort = 28502;
    static constexpr std::uint16_t EngineAgentPort = 28503;
    static constexpr std::uint16_t BurstAgentPort = 28504;
    static constexpr std::uint16_t EntryPort = 28505;
    static constexpr const char *Token = "bench";

    static tcp::endpoint local(std::uint16_t port)
    {
        return {asio::ip::make_address("127.0.0.1"), port};
    }

    RelayFleet()
        : m_engine(m_engineContext, Milliseconds(33))
        , m_burst(m_burstContext)
        , m_engineAgent(m_engineAgentContext, {BackendServerId("chat-1"), 1}, local(EnginePort), local(1), m_metrics)
        , m_burstAgent(m_burstAgentContext, {BackendServerId("burst-1"), 1}, local(BurstPort), local(1), m_metrics)
        , m_entry(settings(), 0, 1, m_metrics)
    {
    }

    RelayFleet(const RelayFleet &) = delete;
    RelayFleet &operator=(const RelayFleet &) = delete;

    ~RelayFleet()
    {
        for (auto *context : {&m_engineContext, &m_burstContext, &m_engineAgentContext, &m_burstAgentContext}) {
            context->stop();
        }
        m_entry.stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    bool start()
    {
        const bool isListening = m_engine.listen(local(EnginePort)).has_value()
            && m_burst.listen(local(BurstPort)).has_value() && m_engineAgent.listen(local(EngineAgentPort)).has_value()
            && m_burstAgent.listen(local(BurstAgentPort)).has_value() && m_entry.listen().has_value();
        if (!isListening) {
            std::cerr << "a port between 28501 and 28505 is taken\n";
            return false;
        }
        const auto inForce = configuration();
        m_engineAgent.apply(*inForce);
        m_burstAgent.apply(*inForce);
        m_entry.apply(inForce);
        for (auto *context : {&m_engineContext, &m_burstContext, &m_engineAgentContext, &m_burstAgentContext}) {
            m_threads.emplace_back([context] { context->run(); });
        }
        m_threads.emplace_back([this] { m_entry.run(); });
        return true;
    }

private:
    static const EntrySettings &settings()
    {
        static const EntrySettings Settings = [] {
            EntrySettings made;
            made.host = HostId("bench");
            made.failureDomain = FailureDomainId("domain");
            made.listen = local(EntryPort);
            return made;
        }();
        return Settings;
    }

    static std::string serverJson(const std::string &service, std::uint16_t port)
    {
        return R"({"service":")" + service + R"(","failure_domain":"domain","agent_address":"127.0.0.1","agent_port":)"
            + std::to_string(port) + R"(,"capacity":100000})";
    }

    static std::shared_ptr<const Configuration> configuration()
    {
        const std::vector<VersionedObject> objects{
            {{"profiles", "p"}, 1, R"({"class":"interactive","timeout_ms":600000})", false},
            {{"services", "chat"}, 2, R"({"kind":"model","profile":"p"})", false},
            {{"services", "burst"}, 3, R"({"kind":"model","profile":"p"})", false},
            {{"organisations", "o"}, 4, R"({"token_sha256":[")" + tokenHash(Token) + R"("]})", false},
            {{"backendservers", "chat-1"}, 5, serverJson("chat", EngineAgentPort), false},
            {{"backendservers", "burst-1"}, 6, serverJson("burst", BurstAgentPort), false},
        };
        ConfigurationBuilder builder;
        for (const auto &object : objects) {
            for (const auto &error : builder.apply(object)) {
                std::cerr << error.message() << '\n';
            }
        }
        return builder.snapshot();
    }

    MetricsRegistry m_metrics;
    asio::io_context m_engineContext;
    asio::io_context m_burstContext;
    asio::io_context m_engineAgentContext;
    asio::io_context m_burstAgentContext;
    BackendService m_engine;
    BurstServer m_burst;
    AgentServer m_engineAgent;
    AgentServer m_burstAgent;
    TrafficThread m_entry;
    std::vector<std::thread> m_threads;
};

} // namespace Cardamomhill

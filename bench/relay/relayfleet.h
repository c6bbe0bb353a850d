#pragma once

#include "agent/agentserver.h"
#include "bench/relay/burstserver.h"
#include "config/configurationbuilder.h"
#include "config/tokenhash.h"
#include "entry/trafficthread.h"
#include "metrics/metricsregistry.h"
#include "objectstore/versionedobject.h"
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

/// Runs one entry traffic thread, simulated engines with an agent each, and a burst server with its agent in one
/// process, connected over loopback TCP. The engines share one thread, their agents another. Without a platform, the
/// configuration is applied directly.
///
/// There are many engines, because the streams of one entry host are distributed over the servers of its failure domain
/// (336 at the target size), whose steps are not in phase. With one engine, all tokens would arrive at the same time.
class RelayFleet
{
public:
    static constexpr std::uint16_t Engines = 36;
    static constexpr std::uint16_t BurstPort = 28501;
    static constexpr std::uint16_t BurstAgentPort = 28502;
    static constexpr std::uint16_t EntryPort = 28503;
    static constexpr std::uint16_t FirstEnginePort = 28510;
    static constexpr std::uint16_t FirstEngineAgentPort = 28550;
    static constexpr const char *Token = "bench";
    static constexpr Milliseconds TerminationGrace{30'000};

    static tcp::endpoint local(std::uint16_t port)
    {
        return {asio::ip::make_address("127.0.0.1"), port};
    }

    RelayFleet()
        : m_burst(m_burstContext)
        , m_burstAgent(m_burstAgentContext,
                       {BackendServerId("burst"), 1},
                       local(BurstPort),
                       local(1),
                       TerminationGrace,
                       m_metrics)
        , m_entry(settings(), 0, 1, m_metrics, [](std::string_view) {})
    {
        for (std::uint16_t i = 0; i < Engines; ++i) {
            m_engines.push_back(std::make_unique<BackendService>(m_engineContext, Milliseconds(33)));
            m_engineAgents.push_back(
                std::make_unique<AgentServer>(m_engineAgentContext,
                                              AgentServer::Identity{BackendServerId(engineName(i)), 1},
                                              local(static_cast<std::uint16_t>(FirstEnginePort + i)),
                                              local(1),
                                              TerminationGrace,
                                              m_metrics));
        }
    }

    RelayFleet(const RelayFleet &) = delete;
    RelayFleet &operator=(const RelayFleet &) = delete;

    ~RelayFleet()
    {
        for (auto *context : {&m_engineContext, &m_burstContext, &m_engineAgentContext, &m_burstAgentContext}) {
            context->stop();
        }
        m_entry.context().stop();
        for (auto &thread : m_threads) {
            thread.join();
        }
    }

    bool start()
    {
        bool isListening = m_burst.listen(local(BurstPort)).has_value()
            && m_burstAgent.listen(local(BurstAgentPort)).has_value() && m_entry.listen().has_value();
        for (std::uint16_t i = 0; i < Engines; ++i) {
            isListening = isListening && m_engines[i]->listen(local(static_cast<std::uint16_t>(FirstEnginePort + i)))
                && m_engineAgents[i]->listen(local(static_cast<std::uint16_t>(FirstEngineAgentPort + i)));
        }
        if (!isListening) {
            std::cerr << "cannot listen on the ports from 28501 to 28590; is one in use?\n";
            return false;
        }
        const auto snapshot = configuration();
        for (const auto &agent : m_engineAgents) {
            agent->apply(*snapshot);
        }
        m_burstAgent.apply(*snapshot);
        m_entry.apply(snapshot);
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

    static std::string engineName(std::uint16_t number)
    {
        return "chat-" + std::to_string(number);
    }

    static std::string serverJson(const std::string &service, std::uint16_t port)
    {
        return R"({"service":")" + service + R"(","failure_domain":"domain","agent_address":"127.0.0.1","agent_port":)"
            + std::to_string(port) + R"(,"capacity":100000})";
    }

    static std::shared_ptr<const Configuration> configuration()
    {
        std::vector<VersionedObject> objects{
            {{"profiles", "p"}, 1, R"({"class":"interactive","timeout_ms":600000,"prefix_affinity":false})", false},
            {{"services", "chat"}, 2, R"({"kind":"model","profile":"p"})", false},
            {{"services", "burst"}, 3, R"({"kind":"model","profile":"p"})", false},
            {{"organisations", "o"}, 4, R"({"token_sha256":[")" + tokenHash(Token) + R"("]})", false},
            {{"backendservers", "burst"}, 5, serverJson("burst", BurstAgentPort), false},
        };
        for (std::uint16_t i = 0; i < Engines; ++i) {
            const auto port = static_cast<std::uint16_t>(FirstEngineAgentPort + i);
            objects.push_back({{"backendservers", engineName(i)}, 6U + i, serverJson("chat", port), false});
        }
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
    std::vector<std::unique_ptr<BackendService>> m_engines;
    std::vector<std::unique_ptr<AgentServer>> m_engineAgents;
    BurstServer m_burst;
    AgentServer m_burstAgent;
    TrafficThread m_entry;
    std::vector<std::thread> m_threads;
};

} // namespace Cardamomhill

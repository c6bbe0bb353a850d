#pragma once

#include "control/controladdress.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "soak/childprocess.h"
#include "soak/documents.h"
#include "soak/freeendpoint.h"
#include "standins/directbackend.h"
#include "standins/platformstore.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// What a caller received for one call.
struct CallResult {
    unsigned status = 0;
    bool isComplete = false;
    std::string body;
    std::string retryAfter;
    Milliseconds duration{0};
};

/// Gateways in processes of their own, with a store and backend servers in this process, all on loopback.
class GatewayFleet
{
public:
    /// @param settings further lines of the settings of each gateway
    GatewayFleet(std::size_t hostCount, const std::vector<std::string> &serverIds, const std::string &settings = {})
        : store(m_context)
        , m_storeAddress(freeEndpoint(m_context))
        , m_directory(std::filesystem::temp_directory_path()
                      / ("gatewayfleet-" + std::to_string(m_storeAddress.port())))
    {
        REQUIRE(store.listen(m_storeAddress).has_value());
        std::filesystem::create_directories(m_directory);
        for (const auto &id : serverIds) {
            addServer(id, 1);
        }
        store.put("config", "main", configuration(1));
        for (std::size_t host = 0; host < hostCount; ++host) {
            addHost(settings);
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            start(host);
        }
        run(waitUntilReady());
    }

    ~GatewayFleet()
    {
        m_hosts.clear();
        std::filesystem::remove_all(m_directory);
    }

    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    DirectBackend &server(const std::string &id)
    {
        return *m_servers.at(id);
    }

    /// Starts a backend server and registers it.
    void addServer(const std::string &id, std::uint64_t startedAt)
    {
        auto server = std::make_unique<DirectBackend>(m_context, id, [this, id](const HttpRequest &request) {
            ++runs[std::string(request["Cardamomhill-Request-Id"])][id];
            if (onRun) {
                onRun(id, request);
            }
        });
        REQUIRE(server->listen(freeEndpoint(m_context)).has_value());
        m_servers.emplace(id, std::move(server));
        registerServer(id, startedAt);
    }

    /// Writes the registration of a server.
    void registerServer(const std::string &id, std::uint64_t startedAt)
    {
        const ServerEntry entry{id, controlAddress(server(id).endpoint()).value(), startedAt, false};
        store.put("servers", id, nlohmann::json::parse(serverDocument(entry)));
    }

    void start(std::size_t host)
    {
        const auto *program = std::getenv("CARDAMOMHILL_PROGRAM");
        REQUIRE(program != nullptr);
        m_hosts[host].process = std::make_unique<ChildProcess>(
            std::vector<std::string>{program, "gateway", "--settings", settingsOf(host)}, logFile(host));
    }

    ChildProcess &process(std::size_t host)
    {
        return *m_hosts[host].process;
    }

    const tcp::endpoint &listenAddress(std::size_t host) const
    {
        return m_hosts[host].listen;
    }

    /// Ends the process of a host without notice.
    void kill(std::size_t host)
    {
        m_hosts[host].process.reset();
    }

    /// Begins a planned stop of a host.
    void terminate(std::size_t host)
    {
        m_hosts[host].process->signal(SIGTERM);
    }

    /// Waits until the process of a host has ended.
    Task<> waitForEnd(std::size_t host)
    {
        const auto deadline = steadyNow() + StartTimeout;
        while (!m_hosts[host].process->hasEnded() && steadyNow() < deadline) {
            co_await sleep(PollInterval);
        }
        CHECK(m_hosts[host].process->hasEnded());
    }

    void run(Task<> scenario)
    {
        bool hasEnded = false;
        asio::co_spawn(m_context, std::move(scenario), [&hasEnded](const std::exception_ptr &exception) {
            hasEnded = true;
            CHECK(!exception);
        });
        while (!hasEnded) {
            m_context.restart();
            m_context.run_for(PollInterval);
        }
    }

    /// Runs a task beside others; it has to end before the fleet does.
    void spawnTask(Task<> task)
    {
        spawn(m_context.get_executor(), "gateway-fleet", std::move(task));
    }

    Task<> sleep(Milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }

    /// Puts a changed configuration in force, as version 2.
    void configure(const std::function<void(nlohmann::json &)> &change)
    {
        auto document = configuration(2);
        change(document);
        store.put("config", "main", document);
    }

    asio::io_context &context()
    {
        return m_context;
    }

    /// Waits until the log of a gateway contains a text.
    Task<> waitForLog(std::size_t host, std::string text)
    {
        const auto deadline = steadyNow() + StartTimeout;
        while (log(host).find(text) == std::string::npos && steadyNow() < deadline) {
            co_await sleep(PollInterval);
        }
        CHECK(log(host).find(text) != std::string::npos);
    }

    /// Waits until all gateways are ready and know the servers that were given at the start.
    Task<> waitUntilReady()
    {
        constexpr unsigned Ok = 200;
        const auto deadline = steadyNow() + StartTimeout;
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            HttpClient client(m_context, m_hosts[host].operatorListen);
            bool isReady = false;
            while (!isReady && steadyNow() < deadline) {
                auto request = makeHttpRequest("GET", "/readyz");
                const auto answer = co_await client.call(std::move(request), AnswerTimeout);
                isReady = answer.has_value() && answer.value().status == Ok;
                if (!isReady) {
                    co_await sleep(PollInterval);
                }
            }
            CHECK(isReady);
            co_await waitForLog(host, "event=host-registered");
            for (const auto &[id, server] : m_servers) {
                co_await waitForLog(host, "event=server-present server=" + id);
            }
        }
    }

    static HttpRequest makeCall(const std::string &path, const std::string &id)
    {
        auto request = makeHttpRequest("POST", path, id);
        request.set("Host", "shop.example");
        request.set("Authorization", "Token k");
        if (!id.empty()) {
            request.set("Cardamomhill-Request-Id", id);
        }
        request.set("Cardamomhill-Request-Deadline", std::to_string(AnswerTimeout.count()));
        return request;
    }

    /// Sends a call on a connection of its own and reads all of its answer.
    Task<CallResult> call(std::size_t host, HttpRequest request)
    {
        CallResult result;
        const auto begun = steadyNow();
        HttpClientConnection connection(m_context);
        const auto connected = co_await connection.connect(m_hosts[host].listen, AnswerTimeout);
        CHECK(connected.has_value());
        const auto started = co_await connection.start(request, AnswerTimeout);
        if (started.has_value()) {
            result.status = connection.status();
            result.retryAfter = std::string(connection.head()["Retry-After"]);
            auto piece = co_await connection.readSome(AnswerTimeout);
            while (piece.has_value() && piece.value()) {
                result.body += *piece.value();
                piece = co_await connection.readSome(AnswerTimeout);
            }
            result.isComplete = piece.has_value();
        }
        result.duration = std::chrono::duration_cast<Milliseconds>(steadyNow() - begun);
        co_return result;
    }

    /// How often a call ran, at all servers together.
    int runsOf(const std::string &id)
    {
        int count = 0;
        for (const auto &[server, number] : runs[id]) {
            count += number;
        }
        return count;
    }

    /// What all processes of a host have logged.
    std::string log(std::size_t host) const
    {
        std::ifstream file(logFile(host));
        return {std::istreambuf_iterator<char>(file), {}};
    }

    /// The metrics of a host, as it shows them to operators.
    std::string metrics(std::size_t host)
    {
        std::string text;
        run(readMetrics(host, text));
        return text;
    }

private:
    Task<> readMetrics(std::size_t host, std::string &text)
    {
        HttpClient client(m_context, m_hosts[host].operatorListen);
        const auto answer = co_await client.call(makeHttpRequest("GET", "/metrics"), AnswerTimeout);
        CHECK(answer.has_value());
        text = answer.has_value() ? answer.value().body : std::string();
    }

    static constexpr Milliseconds AnswerTimeout{4000};
    static constexpr Milliseconds StartTimeout{15000};
    static constexpr Milliseconds PollInterval{20};

    struct Host {
        tcp::endpoint listen;
        tcp::endpoint operatorListen;
        std::unique_ptr<ChildProcess> process;
    };

    asio::io_context m_context;

public:
    PlatformStore store;
    /// How often each call ran, by its id and the server.
    std::map<std::string, std::map<std::string, int>> runs;
    /// Called for each call that runs, with the id of the server.
    std::function<void(const std::string &, const HttpRequest &)> onRun;

private:
    /// The soak's configuration with a further route, whose streams cannot be resumed.
    static nlohmann::json configuration(std::uint64_t version)
    {
        auto document = nlohmann::json::parse(configurationDocument(version));
        auto plainStream = document["routes"][2];
        plainStream["name"] = "talk";
        plainStream["path-prefix"] = "/talk/";
        plainStream.erase("stream-resume");
        document["routes"].push_back(plainStream);
        return document;
    }

    void addHost(const std::string &settings)
    {
        const auto host = m_hosts.size();
        m_hosts.push_back({freeEndpoint(m_context), freeEndpoint(m_context), nullptr});
        std::ofstream(settingsOf(host)) << "host: h" << host << "\nfailure_domain: d1\nlisten: "
                                        << controlAddress(m_hosts[host].listen).value()
                                        << "\noperator_listen: " << controlAddress(m_hosts[host].operatorListen).value()
                                        << "\npeer_listen: " << controlAddress(freeEndpoint(m_context)).value()
                                        << "\nplatform: " << controlAddress(m_storeAddress).value() << "\n"
                                        << settings;
    }

    std::string settingsOf(std::size_t host) const
    {
        return m_directory / ("settings-" + std::to_string(host) + ".yaml");
    }

    std::string logFile(std::size_t host) const
    {
        return m_directory / ("log-" + std::to_string(host));
    }

    std::map<std::string, std::unique_ptr<DirectBackend>> m_servers;
    tcp::endpoint m_storeAddress;
    std::vector<Host> m_hosts;
    std::filesystem::path m_directory;
};

} // namespace Cardamomhill

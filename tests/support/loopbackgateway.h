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

/// A gateway in a process of its own, with a store and backend servers in this process, all on loopback.
class LoopbackGateway
{
public:
    explicit LoopbackGateway(const std::vector<std::string> &serverIds)
        : store(m_context)
        , m_storeAddress(freeEndpoint(m_context))
        , m_listen(freeEndpoint(m_context))
        , m_operatorListen(freeEndpoint(m_context))
        , m_directory(std::filesystem::temp_directory_path() / ("loopbackgateway-" + std::to_string(m_listen.port())))
    {
        REQUIRE(store.listen(m_storeAddress).has_value());
        for (const auto &id : serverIds) {
            auto server = std::make_unique<DirectBackend>(m_context, id, [this, id](const HttpRequest &request) {
                ++runs[std::string(request["Cardamomhill-Request-Id"])][id];
            });
            REQUIRE(server->listen(freeEndpoint(m_context)).has_value());
            m_servers.emplace(id, std::move(server));
            registerServer(id, 1);
        }
        auto configuration = nlohmann::json::parse(configurationDocument(1));
        auto plainStream = configuration["routes"][2];
        plainStream["name"] = "talk";
        plainStream["path-prefix"] = "/talk/";
        plainStream.erase("stream-resume");
        configuration["routes"].push_back(plainStream);
        store.put("config", "main", configuration);
        startProcess();
    }

    ~LoopbackGateway()
    {
        m_process.reset();
        std::filesystem::remove_all(m_directory);
    }

    LoopbackGateway(const LoopbackGateway &) = delete;
    LoopbackGateway &operator=(const LoopbackGateway &) = delete;

    DirectBackend &server(const std::string &id)
    {
        return *m_servers.at(id);
    }

    /// Writes the registration of a server.
    void registerServer(const std::string &id, std::uint64_t startedAt)
    {
        const ServerEntry entry{id, controlAddress(server(id).endpoint()).value(), startedAt, false};
        store.put("servers", id, nlohmann::json::parse(serverDocument(entry)));
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

    Task<> sleep(Milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }

    /// Waits until the log of the gateway contains a text.
    Task<> waitForLog(std::string text)
    {
        const auto deadline = steadyNow() + StartTimeout;
        while (log().find(text) == std::string::npos && steadyNow() < deadline) {
            co_await sleep(PollInterval);
        }
        CHECK(log().find(text) != std::string::npos);
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
    Task<CallResult> call(HttpRequest request)
    {
        CallResult result;
        const auto begun = steadyNow();
        HttpClientConnection connection(m_context);
        const auto connected = co_await connection.connect(m_listen, AnswerTimeout);
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

    std::string log() const
    {
        std::ifstream file(m_directory / "log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    static constexpr Milliseconds AnswerTimeout{4000};
    static constexpr Milliseconds StartTimeout{15000};
    static constexpr Milliseconds PollInterval{20};

    asio::io_context m_context;

public:
    PlatformStore store;
    /// How often each call ran, by its id and the server.
    std::map<std::string, std::map<std::string, int>> runs;

private:
    void startProcess()
    {
        const auto *program = std::getenv("CARDAMOMHILL_PROGRAM");
        REQUIRE(program != nullptr);
        std::filesystem::create_directories(m_directory);
        const auto settings = m_directory / "settings.yaml";
        std::ofstream(settings) << "host: h1\nfailure_domain: d1\nlisten: " << controlAddress(m_listen).value()
                                << "\noperator_listen: " << controlAddress(m_operatorListen).value()
                                << "\npeer_listen: " << controlAddress(freeEndpoint(m_context)).value()
                                << "\nplatform: " << controlAddress(m_storeAddress).value() << "\n";
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string>{program, "gateway", "--settings", settings.string()}, m_directory / "log");
        run(waitUntilReady());
    }

    Task<> waitUntilReady()
    {
        constexpr unsigned Ok = 200;
        const auto deadline = steadyNow() + StartTimeout;
        HttpClient client(m_context, m_operatorListen);
        bool isReady = false;
        while (!isReady && steadyNow() < deadline) {
            co_await sleep(PollInterval);
            auto request = makeHttpRequest("GET", "/readyz");
            const auto answer = co_await client.call(std::move(request), AnswerTimeout);
            isReady = answer.has_value() && answer.value().status == Ok;
        }
        CHECK(isReady);
        for (const auto &[id, server] : m_servers) {
            co_await waitForLog("event=server-present server=" + id);
        }
    }

    std::map<std::string, std::unique_ptr<DirectBackend>> m_servers;
    tcp::endpoint m_storeAddress;
    tcp::endpoint m_listen;
    tcp::endpoint m_operatorListen;
    std::filesystem::path m_directory;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Cardamomhill

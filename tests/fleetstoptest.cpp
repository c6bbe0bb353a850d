#include "control/controladdress.h"
#include "net/framedconnection.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/steadynow.h"
#include "soak/childprocess.h"
#include "soak/freeendpoint.h"
#include "standins/backendservice.h"
#include "standins/objectplatform.h"
#include "wire/message.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <map>
#include <optional>
#include <sstream>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds DrainGrace{500};
constexpr Milliseconds TerminationGrace{2000};
constexpr Milliseconds AnswerTimeout{4000};
constexpr Milliseconds StartTimeout{15000};
constexpr Milliseconds StartInterval{100};
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds StepTime{50};
constexpr unsigned Ok = 200;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
const std::string GeneratePath = "/v1/services/chat/generate";
/// SHA-256 of "token".
const std::string TokenHash = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

/// What a caller got for one request.
struct RequestResult {
    unsigned status = 0;
    bool isComplete = false;
    bool closesConnection = false;
    std::string body;
    Milliseconds duration{0};
};

/// An entry process and an agent in processes of their own, with a platform and an engine in this process. One of the
/// two is sent SIGTERM and, after its grace time, SIGKILL, as a platform does.
class StoppedFleet
{
public:
    explicit StoppedFleet(int trafficThreads = 1)
        : operatorListen(freeEndpoint(m_context))
        , m_platform(m_context)
        , m_engine(m_context, StepTime)
        , m_platformAddress(freeEndpoint(m_context))
        , m_engineAddress(freeEndpoint(m_context))
        , m_listen(freeEndpoint(m_context))
        , m_agentListen(freeEndpoint(m_context))
        , m_agentOperatorListen(freeEndpoint(m_context))
        , m_directory(std::filesystem::temp_directory_path() / ("fleetstop-" + std::to_string(m_listen.port())))
    {
        REQUIRE(m_platform.listen(m_platformAddress).has_value());
        REQUIRE(m_engine.listen(m_engineAddress).has_value());
        std::filesystem::create_directories(m_directory);
        run(configure());
        const auto entryControl = text(freeEndpoint(m_context));
        entry
            = start("entry",
                    "host: h1\nlisten: " + text(m_listen) + "\noperator_listen: " + text(operatorListen)
                        + "\ncontrol_listen: " + entryControl + "\ndrain_grace_ms: "
                        + std::to_string(DrainGrace.count()) + "\ntraffic_threads: " + std::to_string(trafficThreads));
        agent = start("agent",
                      "backend_server: chat-1\nlisten: " + text(m_agentListen) + "\noperator_listen: "
                          + text(m_agentOperatorListen) + "\ncontrol_listen: " + text(freeEndpoint(m_context))
                          + "\nengine: " + text(m_engineAddress) + "\nseeds: [" + entryControl + "]");
        run(waitUntilServing());
        CAPTURE(log("agent"));
        REQUIRE(m_isServing);
    }

    ~StoppedFleet()
    {
        entry.reset();
        agent.reset();
        std::filesystem::remove_all(m_directory);
    }

    StoppedFleet(const StoppedFleet &) = delete;
    StoppedFleet &operator=(const StoppedFleet &) = delete;

    /// Runs the scenario to its end and then the stopped process to its own.
    void run(Task<> scenario)
    {
        bool hasEnded = false;
        asio::co_spawn(m_context, std::move(scenario), [&hasEnded](const std::exception_ptr &exception) {
            hasEnded = true;
            CHECK(!exception);
        });
        while (!hasEnded || (m_stopped != nullptr && !m_stopped->hasEnded())) {
            if (m_stopped != nullptr && steadyNow() >= m_killsAt && !m_stopped->hasEnded()) {
                wasKilled = true;
                m_stopped->signal(SIGKILL);
            }
            m_context.restart();
            m_context.run_for(PollInterval);
        }
    }

    void terminate(ChildProcess &process)
    {
        process.signal(SIGTERM);
        m_stopped = &process;
        m_killsAt = steadyNow() + TerminationGrace;
    }

    Task<> sleep(Milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }

    Task<std::unique_ptr<HttpClientConnection>> connect()
    {
        auto connection = std::make_unique<HttpClientConnection>(m_context);
        const auto connected = co_await connection->connect(m_listen, AnswerTimeout);
        CHECK(connected.has_value());
        co_return connection;
    }

    /// Connects to the agent and introduces itself as an entry process. Messages of the agent are appended.
    std::shared_ptr<FramedConnection> connectToAgent(std::vector<Message> &messages)
    {
        tcp::socket socket(m_context);
        socket.connect(m_agentListen);
        auto connection = std::make_shared<FramedConnection>(std::move(socket));
        connection->start([&messages](Message message) { messages.push_back(std::move(message)); },
                          [](const NetError &) {});
        connection->send(Hello{"test", 1, 1});
        return connection;
    }

    tcp::socket connectSocket()
    {
        tcp::socket socket(m_context);
        socket.connect(m_listen);
        return socket;
    }

    /// Requests so many tokens, one for each StepTime, and reads all of the answer.
    /// @param timeout the time that the caller states it waits; that of the profile if not set
    Task<RequestResult> generate(HttpClientConnection &connection,
                                 int tokens,
                                 bool streams,
                                 std::optional<Milliseconds> timeout = std::nullopt)
    {
        auto request = makeRequest(tokens, streams);
        if (timeout) {
            request.set("X-Request-Timeout-Ms", std::to_string(timeout->count()));
        }
        RequestResult result;
        const auto begun = steadyNow();
        const auto started = co_await connection.start(request, AnswerTimeout);
        if (started.has_value()) {
            result.status = connection.status();
            result.closesConnection = connection.head()["Connection"] == "close";
            auto piece = co_await connection.readSome(AnswerTimeout);
            while (piece.has_value() && piece.value()) {
                result.body += *piece.value();
                piece = co_await connection.readSome(AnswerTimeout);
            }
            result.isComplete = piece.has_value();
            connection.reset();
        }
        result.duration = std::chrono::duration_cast<Milliseconds>(steadyNow() - begun);
        co_return result;
    }

    static HttpRequest makeRequest(int tokens, bool streams)
    {
        const nlohmann::json body{{"prompt", "a"}, {"tokens", tokens}, {"stream", streams}};
        auto request = makeHttpRequest("POST", GeneratePath, body.dump());
        request.set("Host", "chat.example");
        request.set("Authorization", "Bearer token");
        return request;
    }

    /// The status of a process's answer about its readiness; 0 if there is none.
    Task<unsigned> readiness(tcp::endpoint address)
    {
        HttpClient client(m_context, address);
        auto request = makeHttpRequest("GET", "/readyz");
        const auto answer = co_await client.call(std::move(request), AnswerTimeout);
        co_return answer.has_value() ? answer.value().status : 0;
    }

    Task<> waitForLog(const std::string &name, const std::string &text)
    {
        const auto end = steadyNow() + AnswerTimeout;
        while (log(name).find(text) == std::string::npos && steadyNow() < end) {
            co_await sleep(Milliseconds(1));
        }
        CHECK(log(name).find(text) != std::string::npos);
    }

    std::string log(const std::string &name) const
    {
        std::ifstream file(m_directory / (name + ".log"));
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    asio::io_context m_context;

public:
    std::unique_ptr<ChildProcess> entry;
    std::unique_ptr<ChildProcess> agent;
    const tcp::endpoint operatorListen;
    bool wasKilled = false;

private:
    static std::string text(const tcp::endpoint &endpoint)
    {
        return controlAddress(endpoint).value();
    }

    Task<> configure()
    {
        const std::map<std::string, nlohmann::json> objects{
            {"profiles/desk", {{"class", "interactive"}, {"timeout_ms", 6000}}},
            {"services/chat", {{"kind", "model"}, {"profile", "desk"}}},
            {"organisations/o1", {{"token_sha256", nlohmann::json::array({TokenHash})}}},
            {"backendservers/chat-1",
             {{"service", "chat"},
              {"failure_domain", "d1"},
              {"agent_address", m_agentListen.address().to_string()},
              {"agent_port", m_agentListen.port()},
              {"capacity", 64}}}};
        for (const auto &[key, value] : objects) {
            HttpClient client(m_context, m_platformAddress);
            auto request = makeHttpRequest("PUT", "/objects/" + key, value.dump());
            request.set("If-None-Match", "*");
            const auto answer = co_await client.call(std::move(request), AnswerTimeout);
            REQUIRE(answer.has_value());
            CHECK(answer.value().status / 100 == Ok / 100);
        }
    }

    std::unique_ptr<ChildProcess> start(const std::string &kind, const std::string &lines)
    {
        const auto *program = std::getenv("CARDAMOMHILL_PROGRAM");
        REQUIRE(program != nullptr);
        const auto settings = m_directory / (kind + ".yaml");
        std::ofstream(settings) << lines << "\nfailure_domain: d1\nplatform: " << text(m_platformAddress)
                                << "\ntermination_grace_s: " << std::chrono::duration<double>(TerminationGrace).count()
                                << "\n";
        return std::make_unique<ChildProcess>(std::vector<std::string>{program, kind, "--settings", settings.string()},
                                              m_directory / (kind + ".log"));
    }

    /// Waits until several requests in a row were answered, since the capacity of a new agent is known a while later.
    Task<> waitUntilServing()
    {
        constexpr int RequestCount = 5;
        const auto deadline = steadyNow() + StartTimeout;
        unsigned ready = 0;
        while (ready != Ok && steadyNow() < deadline) {
            co_await sleep(StartInterval);
            ready = co_await readiness(m_agentOperatorListen);
        }
        int answered = 0;
        while (answered < RequestCount && steadyNow() < deadline) {
            co_await sleep(StartInterval);
            HttpClient client(m_context, m_listen);
            auto request = makeRequest(1, false);
            const auto answer = co_await client.call(std::move(request), AnswerTimeout);
            answered = answer.has_value() && answer.value().status == Ok ? answered + 1 : 0;
        }
        m_isServing = answered == RequestCount;
    }

    ObjectPlatform m_platform;
    BackendService m_engine;
    tcp::endpoint m_platformAddress;
    tcp::endpoint m_engineAddress;
    tcp::endpoint m_listen;
    tcp::endpoint m_agentListen;
    tcp::endpoint m_agentOperatorListen;
    std::filesystem::path m_directory;
    bool m_isServing = false;
    ChildProcess *m_stopped = nullptr;
    SteadyTime m_killsAt;
};

/// How often a text occurs in another.
int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + 1)) {
        ++count;
    }
    return count;
}

/// Sends a request in two parts with a pause in between, and reads the answer until the connection ends.
Task<std::string> sendInTwoParts(StoppedFleet &fleet, tcp::socket &socket, Milliseconds pause)
{
    std::ostringstream all;
    auto request = StoppedFleet::makeRequest(1, false);
    request.set("X-Request-Timeout-Ms", "500");
    all << request;
    const auto text = all.str();
    const auto half = text.size() / 2;
    SystemError error;
    co_await asio::async_write(socket, asio::buffer(text.data(), half), storeError(error));
    co_await fleet.sleep(pause);
    co_await asio::async_write(socket, asio::buffer(text.data() + half, text.size() - half), storeError(error));
    std::string answer;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "}", storeError(error));
    co_return answer;
}

} // namespace

TEST_CASE("requests that still run shortly before the kill are ended by the entry process, which tells their callers")
{
    const int threads = 2;
    StoppedFleet fleet(threads);
    RequestResult stream;
    RequestResult whole;
    const auto askForWhole = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        whole = co_await fleet.generate(*connection, 80, false);
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        asio::co_spawn(co_await asio::this_coro::executor, askForWhole(), asio::detached);
        asio::steady_timer stop(co_await asio::this_coro::executor, StepTime * 2);
        stop.async_wait([&fleet](SystemError) { fleet.terminate(*fleet.entry); });
        stream = co_await fleet.generate(*connection, 80, true);
    };
    fleet.run(scenario());
    const auto log = fleet.log("entry");
    CAPTURE(log);
    CHECK_FALSE(fleet.wasKilled);
    CHECK(stream.status == Ok);
    CHECK_FALSE(stream.isComplete);
    CHECK(stream.body.ends_with("\n\n"));
    CHECK(whole.status == BadGateway);
    CHECK(whole.isComplete);
    CHECK(countOf(log, "event=ended-early") == 2);
    CHECK(countOf(log, "event=listener-closed") == threads);
    CHECK(countOf(log, "event=drain-progress") > 0);
    CHECK(countOf(log, "event=exit reason=time-over") == 1);
}

TEST_CASE("an entry process does not exit while a request is arriving on one of its connections")
{
    StoppedFleet fleet(2);
    std::string first;
    std::string second;
    const auto scenario = [&]() -> Task<> {
        auto idle = fleet.connectSocket();
        auto busy = fleet.connectSocket();
        fleet.terminate(*fleet.entry);
        co_await fleet.sleep(DrainGrace - StepTime);
        first = co_await sendInTwoParts(fleet, busy, StepTime * 4);
        second = co_await sendInTwoParts(fleet, idle, Milliseconds(0));
    };
    fleet.run(scenario());
    const auto log = fleet.log("entry");
    CAPTURE(log);
    CHECK(first.starts_with("HTTP/1.1 200"));
    CHECK(first.find("Connection: close") != std::string::npos);
    CHECK(second.starts_with("HTTP/1.1 200"));
    CHECK_FALSE(fleet.wasKilled);
    CHECK(countOf(log, "event=exit reason=drained") == 1);
}

TEST_CASE("an entry process that stops takes requests that end in time, then closes, and refuses longer ones at once")
{
    StoppedFleet fleet;
    RequestResult taken;
    RequestResult refused;
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        const auto earlier = co_await fleet.generate(*connection, 30, true);
        CHECK(earlier.isComplete);
        auto second = co_await fleet.connect();
        fleet.terminate(*fleet.entry);
        co_await fleet.waitForLog("entry", "event=draining");
        taken = co_await fleet.generate(*connection, 1, false, DrainGrace);
        co_await fleet.sleep(StepTime * 6);
        refused = co_await fleet.generate(*second, 30, true);
    };
    fleet.run(scenario());
    CAPTURE(fleet.log("entry"));
    CHECK(countOf(fleet.log("entry"), "event=taken-while-draining") == 1);
    CHECK(taken.status == Ok);
    CHECK(taken.closesConnection);
    CHECK(refused.status == Unavailable);
    CHECK(refused.isComplete);
    CHECK(refused.closesConnection);
    CHECK(refused.duration < StepTime * 2);
    CHECK_FALSE(fleet.wasKilled);
}

TEST_CASE("refusals within milliseconds do not make a stopping entry process take a request that it has to cut")
{
    constexpr int RefusalCount = 12;
    StoppedFleet fleet;
    int refusals = 0;
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        const auto earlier = co_await fleet.generate(*connection, 30, true);
        CHECK(earlier.isComplete);
        fleet.agent->signal(SIGKILL);
        while (!fleet.agent->hasEnded()) {
            co_await fleet.sleep(PollInterval);
        }
        for (int number = 0; number < RefusalCount; ++number) {
            auto other = co_await fleet.connect();
            const auto refused = co_await fleet.generate(*other, 1, false);
            refusals += refused.status == Unavailable ? 1 : 0;
        }
        fleet.terminate(*fleet.entry);
        co_await fleet.sleep(StepTime * 7);
        co_await fleet.generate(*connection, 30, true);
    };
    fleet.run(scenario());
    CAPTURE(fleet.log("entry"));
    CHECK(refusals == RefusalCount);
    CHECK(countOf(fleet.log("entry"), "event=taken-while-draining") == 0);
}

TEST_CASE("an entry process answers questions about its readiness until it exits")
{
    StoppedFleet fleet;
    RequestResult stream;
    std::map<unsigned, int> answers;
    const auto ask = [&]() -> Task<> {
        // Under sanitizers the process is still there for a while after it has exited by its own account.
        while (fleet.log("entry").find("event=exit") == std::string::npos && !fleet.entry->hasEnded()) {
            ++answers[co_await fleet.readiness(fleet.operatorListen)];
            co_await fleet.sleep(PollInterval);
        }
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        asio::steady_timer stop(co_await asio::this_coro::executor, StepTime * 2);
        stop.async_wait([&](SystemError) {
            fleet.terminate(*fleet.entry);
            asio::co_spawn(stop.get_executor(), ask(), asio::detached);
        });
        stream = co_await fleet.generate(*connection, 24, true);
    };
    fleet.run(scenario());
    CAPTURE(fleet.log("entry"));
    CHECK(stream.isComplete);
    CHECK(answers[Unavailable] > 20);
    // The signal may be seen after the first question, and the process may end during the last one.
    CHECK(answers[Ok] <= 1);
    CHECK(answers[0] <= 1);
}

TEST_CASE("requests that still run shortly before the kill are ended by the agent, which tells the entry process")
{
    StoppedFleet fleet;
    RequestResult stream;
    RequestResult whole;
    const auto askForWhole = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        whole = co_await fleet.generate(*connection, 80, false);
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await fleet.connect();
        asio::co_spawn(co_await asio::this_coro::executor, askForWhole(), asio::detached);
        asio::steady_timer stop(co_await asio::this_coro::executor, StepTime * 2);
        stop.async_wait([&fleet](SystemError) { fleet.terminate(*fleet.agent); });
        stream = co_await fleet.generate(*connection, 80, true);
    };
    fleet.run(scenario());
    const auto log = fleet.log("agent");
    CAPTURE(log);
    CHECK_FALSE(fleet.wasKilled);
    CHECK(stream.status == Ok);
    CHECK_FALSE(stream.isComplete);
    CHECK(stream.body.ends_with("\n\n"));
    // It may be repeated, but there is no other server.
    CHECK(whole.status == Unavailable);
    CHECK(whole.isComplete);
    CHECK(whole.body.find(R"("outcome":"unknown")") != std::string::npos);
    CHECK(countOf(log, "event=ended-early") == 2);
    CHECK(countOf(log, "event=exit reason=time-over") == 1);
}

TEST_CASE("an agent exits only when the entry processes know that it leaves, and refuses what they sent before")
{
    StoppedFleet fleet;
    std::vector<Message> messages;
    std::shared_ptr<FramedConnection> connection;
    const auto scenario = [&]() -> Task<> {
        connection = fleet.connectToAgent(messages);
        co_await fleet.sleep(StepTime);
        fleet.terminate(*fleet.agent);
        co_await fleet.sleep(StepTime * 4);
        Execute execute;
        execute.attempt = 1;
        execute.service = "chat";
        execute.remainingMs = 1000;
        connection->send(execute);
        co_await fleet.sleep(StepTime);
        connection->send(LeavingAcknowledged{1});
    };
    fleet.run(scenario());
    CAPTURE(fleet.log("agent"));
    const AttemptEnded *refusal = nullptr;
    for (const auto &message : messages) {
        const auto *ended = std::get_if<AttemptEnded>(&message);
        refusal = ended != nullptr ? ended : refusal;
    }
    REQUIRE(refusal != nullptr);
    CHECK(refusal->outcome == AttemptOutcome::NotRun);
    CHECK(refusal->reason == AttemptReason::Leaving);
    CHECK_FALSE(fleet.wasKilled);
    CHECK(countOf(fleet.log("agent"), "event=exit reason=left") == 1);
}

TEST_CASE("an agent does not exit before an entry process has the whole of an answer")
{
    StoppedFleet fleet;
    std::vector<Message> messages;
    std::shared_ptr<FramedConnection> connection;
    bool wasRunning = false;
    const auto scenario = [&]() -> Task<> {
        connection = fleet.connectToAgent(messages);
        Execute execute;
        execute.attempt = 1;
        execute.service = "chat";
        execute.method = "POST";
        execute.target = "/generate";
        execute.body = R"({"prompt":"a","tokens":1})";
        execute.remainingMs = 1000;
        connection->send(execute);
        co_await fleet.sleep(StepTime / 2);
        fleet.terminate(*fleet.agent);
        co_await fleet.sleep(StepTime);
        connection->send(LeavingAcknowledged{1});
        co_await fleet.sleep(StepTime * 6);
        wasRunning = !fleet.agent->hasEnded();
        connection->send(Acknowledge{1, std::numeric_limits<std::uint64_t>::max()});
    };
    fleet.run(scenario());
    CAPTURE(fleet.log("agent"));
    CHECK(wasRunning);
    CHECK_FALSE(fleet.wasKilled);
    CHECK(countOf(fleet.log("agent"), "event=exit reason=left") == 1);
}

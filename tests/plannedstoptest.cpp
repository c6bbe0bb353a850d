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
#include <utility>

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds DrainGrace{1000};
constexpr Milliseconds TerminationGrace{4000};
constexpr Milliseconds RouteTimeout{10'000};
/// The deadline of calls that may outlast the grace time.
constexpr Milliseconds AnswerTimeout{8000};
constexpr Milliseconds ShortDeadline{1000};
constexpr Milliseconds StartTimeout{15000};
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds EventInterval{100};
/// Calls after which a process knows how long calls of their route take.
constexpr int KnownCalls = 80;
/// The deadline of calls that a process may take since it knows that, and for how long it must know.
constexpr Milliseconds KnownDeadline{3600};
constexpr Milliseconds KnownTime{7400};
constexpr unsigned Ok = 200;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

/// What a caller got for one call.
struct CallResult {
    unsigned status = 0;
    bool isComplete = false;
    bool closesConnection = false;
    std::string body;
    Milliseconds duration{0};
};

/// A gateway in a process of its own, with a store and a server in this process. It is sent SIGTERM and, after its
/// grace time, SIGKILL, as the platform does.
class StoppedGateway
{
public:
    StoppedGateway()
        : m_store(m_context)
        , m_server(m_context, "s1", [this](const HttpRequest &request) { ++runs[std::string(request.body())]; })
        , m_storeAddress(freeEndpoint(m_context))
        , m_listen(freeEndpoint(m_context))
        , m_operatorListen(freeEndpoint(m_context))
        , m_directory(std::filesystem::temp_directory_path() / ("plannedstop-" + std::to_string(m_listen.port())))
    {
        const auto serverAddress = freeEndpoint(m_context);
        REQUIRE(m_store.listen(m_storeAddress).has_value());
        REQUIRE(m_server.listen(serverAddress).has_value());
        const ServerEntry entry{"s1", controlAddress(serverAddress).value(), 1, false};
        m_store.put("servers", "s1", nlohmann::json::parse(serverDocument(entry)));
        auto configuration = nlohmann::json::parse(configurationDocument(1));
        for (auto &route : configuration["routes"]) {
            route["timeout-ms"] = RouteTimeout.count();
        }
        m_store.put("config", "main", configuration);
        startProcess();
    }

    ~StoppedGateway()
    {
        m_process.reset();
        std::filesystem::remove_all(m_directory);
    }

    StoppedGateway(const StoppedGateway &) = delete;
    StoppedGateway &operator=(const StoppedGateway &) = delete;

    /// Runs the scenario to its end and then the process to its own.
    void run(Task<> scenario)
    {
        bool hasEnded = false;
        asio::co_spawn(m_context, std::move(scenario), [&hasEnded](const std::exception_ptr &exception) {
            hasEnded = true;
            CHECK(!exception);
        });
        while (!hasEnded || (m_killsAt && !m_process->hasEnded())) {
            if (m_killsAt && steadyNow() >= *m_killsAt && !m_process->hasEnded()) {
                wasKilled = true;
                m_process->signal(SIGKILL);
            }
            m_context.restart();
            m_context.run_for(PollInterval);
        }
    }

    void signal(int signalNumber)
    {
        m_process->signal(signalNumber);
    }

    void terminate()
    {
        m_process->signal(SIGTERM);
        m_killsAt = steadyNow() + TerminationGrace;
    }

    /// A busy machine runs the process, and so its handler of the signal, later than the test goes on.
    Task<> waitUntilDraining()
    {
        const auto deadline = steadyNow() + AnswerTimeout;
        while (log().find("event=draining ") == std::string::npos && steadyNow() < deadline) {
            co_await sleep(PollInterval);
        }
    }

    /// Sends SIGTERM to a process that does not run until so much later, as on a host whose processors are taken.
    Task<> terminateWhilePaused(Milliseconds pause)
    {
        m_process->signal(SIGSTOP);
        terminate();
        co_await sleep(pause);
        m_process->signal(SIGCONT);
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

    /// Sends a stream of so many events, EventInterval apart, and reads all of its answer.
    Task<CallResult> stream(HttpClientConnection &connection, const std::string &id, int events)
    {
        const auto request = makeStream(id, events);
        co_return co_await call(connection, request);
    }

    /// Sends so many streams of one event, one after another.
    Task<> streamOften(HttpClientConnection &connection, int count)
    {
        for (int number = 0; number < count; ++number) {
            const auto id = "known" + std::to_string(number);
            const auto result = co_await stream(connection, id, 1);
            CHECK(result.isComplete);
        }
    }

    /// Lets the process learn that streams are short.
    Task<> learnDurations(HttpClientConnection &connection)
    {
        const auto knownFrom = steadyNow();
        co_await streamOften(connection, KnownCalls);
        co_await sleep(std::chrono::duration_cast<Milliseconds>(knownFrom + KnownTime - steadyNow()));
    }

    /// As stream(), with a deadline after which the process may be killed.
    Task<CallResult> streamWithDeadline(HttpClientConnection &connection, const std::string &id, int events)
    {
        auto request = makeStream(id, events);
        request.set("Cardamomhill-Request-Deadline", std::to_string(KnownDeadline.count()));
        co_return co_await call(connection, request);
    }

    /// As stream(), and sends SIGTERM to the process when the first event has arrived.
    Task<CallResult> streamAndTerminate(HttpClientConnection &connection, const std::string &id, int events)
    {
        m_terminatesAtFirstEvent = true;
        const auto request = makeStream(id, events);
        co_return co_await call(connection, request);
    }

    /// Sends a call that must not be repeated and whose answer takes so long.
    Task<CallResult>
    pay(HttpClientConnection &connection, const std::string &id, Milliseconds delay, Milliseconds deadline)
    {
        auto request = makeCall("/pay/slow", id);
        request.set("X-Delay-Ms", std::to_string(delay.count()));
        request.set("Cardamomhill-Request-Deadline", std::to_string(deadline.count()));
        co_return co_await call(connection, request);
    }

    static HttpRequest makeStream(const std::string &id, int events)
    {
        auto request = makeCall("/draft/stream", id);
        request.set("X-Events", std::to_string(events));
        request.set("X-Event-Interval-Ms", std::to_string(EventInterval.count()));
        return request;
    }

    /// A stream that breaks off at once, on the same route.
    static HttpRequest makeBrokenStream(const std::string &id)
    {
        auto request = makeCall("/draft/resumed-error", id);
        request.set("X-Event-Interval-Ms", "1");
        return request;
    }

    Task<CallResult> call(HttpClientConnection &connection, const HttpRequest &request)
    {
        CallResult result;
        const auto begun = steadyNow();
        const auto started = co_await connection.start(request, AnswerTimeout);
        if (started.has_value()) {
            result.status = connection.status();
            result.closesConnection = connection.head()["Connection"] == "close";
            auto piece = co_await connection.readSome(AnswerTimeout);
            while (piece.has_value() && piece.value()) {
                result.body += *piece.value();
                if (std::exchange(m_terminatesAtFirstEvent, false)) {
                    terminate();
                }
                piece = co_await connection.readSome(AnswerTimeout);
            }
            result.isComplete = piece.has_value();
            connection.reset();
        }
        result.duration = std::chrono::duration_cast<Milliseconds>(steadyNow() - begun);
        co_return result;
    }

    std::string log() const
    {
        std::ifstream file(m_directory / "log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

    std::map<std::string, int> runs;
    bool wasKilled = false;

private:
    static HttpRequest makeCall(const std::string &path, const std::string &id)
    {
        auto request = makeHttpRequest("POST", path, id);
        request.set("Host", "shop.example");
        request.set("Authorization", "Token k");
        request.set("Cardamomhill-Request-Id", id);
        request.set("Cardamomhill-Request-Deadline", std::to_string(AnswerTimeout.count()));
        return request;
    }

    void startProcess()
    {
        const auto *program = std::getenv("CARDAMOMHILL_PROGRAM");
        REQUIRE(program != nullptr);
        std::filesystem::create_directories(m_directory);
        const auto settings = m_directory / "settings.yaml";
        std::ofstream(settings) << "host: h1\nfailure_domain: d1\nlisten: " << controlAddress(m_listen).value()
                                << "\noperator_listen: " << controlAddress(m_operatorListen).value()
                                << "\npeer_listen: " << controlAddress(freeEndpoint(m_context)).value()
                                << "\nplatform: " << controlAddress(m_storeAddress).value()
                                << "\ndrain_grace_ms: " << DrainGrace.count()
                                << "\ntermination_grace_s: " << std::chrono::duration<double>(TerminationGrace).count()
                                << "\n";
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string>{program, "gateway", "--settings", settings.string()}, m_directory / "log");
        run(waitUntilReady());
    }

    Task<> waitUntilReady()
    {
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
    }

    asio::io_context m_context;
    PlatformStore m_store;
    DirectBackend m_server;
    tcp::endpoint m_storeAddress;
    tcp::endpoint m_listen;
    tcp::endpoint m_operatorListen;
    std::filesystem::path m_directory;
    std::unique_ptr<ChildProcess> m_process;
    std::optional<SteadyTime> m_killsAt;
    bool m_terminatesAtFirstEvent = false;
};

/// Whether the caller has all that it is owed: the whole answer, or a refusal of a call that did not run.
bool isAnsweredOrNotRun(StoppedGateway &gateway, const std::string &id, const CallResult &result)
{
    return result.isComplete && (result.status == Ok || (result.status == Unavailable && gateway.runs[id] == 0));
}

Task<> resumeLater(StoppedGateway &gateway, Milliseconds pause)
{
    co_await gateway.sleep(pause);
    gateway.signal(SIGCONT);
}

std::string lineOf(const std::string &log, const std::string &text)
{
    const auto position = log.find(text);
    return position == std::string::npos ? std::string() : log.substr(position, log.find('\n', position) - position);
}

} // namespace

TEST_CASE("a call on a kept connection late in a stop is not begun and then cut when the process is killed")
{
    StoppedGateway gateway;
    CallResult first;
    CallResult late;
    const std::string firstId = "first";
    const std::string lateId = "late";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        first = co_await gateway.streamAndTerminate(*connection, firstId, 20);
        late = co_await gateway.stream(*connection, lateId, 30);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CAPTURE(late.status);
    CAPTURE(late.body);
    CHECK(first.isComplete);
    // An answer that began before the stop keeps its connection.
    REQUIRE_FALSE(first.closesConnection);
    CHECK(isAnsweredOrNotRun(gateway, lateId, late));
}

TEST_CASE("a call that usually takes longer than a stopping process has left is refused at once and not run")
{
    StoppedGateway gateway;
    CallResult taken;
    CallResult refused;
    const std::string earlierId = "earlier";
    const std::string takenId = "taken";
    const std::string refusedId = "refused";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        const auto earlier = co_await gateway.stream(*connection, earlierId, 40);
        CHECK(earlier.isComplete);
        auto second = co_await gateway.connect();
        gateway.terminate();
        co_await gateway.sleep(EventInterval);
        co_await gateway.waitUntilDraining();
        taken = co_await gateway.pay(*connection, takenId, EventInterval, ShortDeadline);
        refused = co_await gateway.stream(*second, refusedId, 40);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(taken.status == Ok);
    CHECK(refused.status == Unavailable);
    CHECK(refused.closesConnection);
    CHECK(gateway.runs[refusedId] == 0);
    CHECK(refused.duration < ShortDeadline);
    CHECK_FALSE(gateway.wasKilled);
}

TEST_CASE("a long stream is not begun in a stop because other calls of its service are short, or none has ended yet")
{
    for (const int payments : {0, 10}) {
        StoppedGateway gateway;
        CallResult late;
        const std::string lateId = "late";
        const auto scenario = [&]() -> Task<> {
            auto connection = co_await gateway.connect();
            for (int number = 0; number < payments; ++number) {
                const auto id = "payment" + std::to_string(number);
                co_await gateway.pay(*connection, id, Milliseconds(2), ShortDeadline);
            }
            gateway.terminate();
            co_await gateway.sleep(EventInterval);
            late = co_await gateway.stream(*connection, lateId, 50);
        };
        gateway.run(scenario());
        CAPTURE(payments);
        CAPTURE(gateway.log());
        CHECK(isAnsweredOrNotRun(gateway, lateId, late));
    }
}

TEST_CASE("answers that break off within milliseconds do not make a stopping process take a stream that it has to cut")
{
    constexpr int BrokenCount = 12;
    StoppedGateway gateway;
    CallResult late;
    int broken = 0;
    const std::string earlierId = "earlier";
    const std::string lateId = "late";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        const auto earlier = co_await gateway.stream(*connection, earlierId, 40);
        CHECK(earlier.isComplete);
        for (int number = 0; number < BrokenCount; ++number) {
            auto other = co_await gateway.connect();
            const auto request = StoppedGateway::makeBrokenStream("broken" + std::to_string(number));
            const auto result = co_await gateway.call(*other, request);
            broken += result.isComplete ? 0 : 1;
        }
        gateway.terminate();
        co_await gateway.sleep(EventInterval);
        late = co_await gateway.stream(*connection, lateId, 50);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(broken == BrokenCount);
    CHECK(isAnsweredOrNotRun(gateway, lateId, late));
}

TEST_CASE("calls that still run shortly before the kill are ended by the process, which tells their callers")
{
    StoppedGateway gateway;
    CallResult stream;
    CallResult payment;
    const std::string streamId = "stream";
    const std::string paymentId = "payment";
    const auto pay = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        payment = co_await gateway.pay(*connection, paymentId, AnswerTimeout, AnswerTimeout);
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        asio::co_spawn(co_await asio::this_coro::executor, pay(), asio::detached);
        stream = co_await gateway.streamAndTerminate(*connection, streamId, 60);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK_FALSE(gateway.wasKilled);
    CHECK(stream.status == Ok);
    CHECK_FALSE(stream.isComplete);
    CHECK(stream.body.ends_with("\n\n"));
    CHECK(payment.status == BadGateway);
    CHECK(payment.isComplete);
    CHECK(gateway.log().find("event=exit reason=time-over") != std::string::npos);
}

TEST_CASE("a process does not exit while a caller whose answer has just ended may still send on its connection")
{
    StoppedGateway gateway;
    CallResult first;
    CallResult next;
    const std::string firstId = "first";
    const std::string nextId = "next";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        first = co_await gateway.streamAndTerminate(*connection, firstId, 25);
        co_await gateway.sleep(EventInterval);
        next = co_await gateway.stream(*connection, nextId, 5);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(first.isComplete);
    REQUIRE_FALSE(first.closesConnection);
    CHECK(next.status == Unavailable);
    CHECK(next.isComplete);
    CHECK(gateway.runs[nextId] == 0);
}

TEST_CASE("a stream whose server is silent for a while is not cut when no other server could continue it")
{
    StoppedGateway gateway;
    CallResult stream;
    const std::string streamId = "stream";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        auto request = StoppedGateway::makeStream(streamId, 4);
        request.set("X-Last-Interval-Ms", "1600");
        stream = co_await gateway.call(*connection, request);
        gateway.terminate();
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CAPTURE(stream.body);
    CHECK(stream.status == Ok);
    CHECK(stream.isComplete);
}

TEST_CASE("a second SIGTERM and a SIGHUP in a stop cut no call")
{
    StoppedGateway gateway;
    CallResult stream;
    const std::string streamId = "stream";
    const auto disturb = [&]() -> Task<> {
        co_await gateway.sleep(DrainGrace / 2);
        for (int repetition = 0; repetition < 4; ++repetition) {
            gateway.signal(repetition % 2 == 0 ? SIGTERM : SIGHUP);
            co_await gateway.sleep(DrainGrace / 3);
        }
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        asio::co_spawn(co_await asio::this_coro::executor, disturb(), asio::detached);
        stream = co_await gateway.streamAndTerminate(*connection, streamId, 25);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(stream.isComplete);
    CHECK_FALSE(gateway.wasKilled);
    CHECK(gateway.log().find("event=exit reason=drained") != std::string::npos);
}

TEST_CASE("a call sent after the drain grace, counted from SIGTERM, is not begun because the signal was handled late")
{
    StoppedGateway gateway;
    CallResult late;
    const std::string lateId = "late";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        co_await gateway.learnDurations(*connection);
        co_await gateway.terminateWhilePaused(Milliseconds(300));
        // Longer than the drain grace after SIGTERM, and shorter after its handling.
        co_await gateway.sleep(Milliseconds(780));
        late = co_await gateway.streamWithDeadline(*connection, lateId, 50);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(isAnsweredOrNotRun(gateway, lateId, late));
}

TEST_CASE("a process that handled SIGTERM late still ends its calls before it is killed")
{
    StoppedGateway gateway;
    CallResult payment;
    const std::string paymentId = "payment";
    const auto terminateLate = [&]() -> Task<> {
        co_await gateway.sleep(EventInterval);
        co_await gateway.terminateWhilePaused(Milliseconds(480));
    };
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        asio::co_spawn(co_await asio::this_coro::executor, terminateLate(), asio::detached);
        payment = co_await gateway.pay(*connection, paymentId, AnswerTimeout, AnswerTimeout);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK_FALSE(gateway.wasKilled);
    CHECK(payment.status == BadGateway);
    CHECK(payment.isComplete);
}

TEST_CASE("a stream is not begun in a stop if one of many like it took longer than the process has left")
{
    StoppedGateway gateway;
    CallResult late;
    const std::string longId = "long";
    const std::string lateId = "late";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        const auto earlier = co_await gateway.stream(*connection, longId, 40);
        CHECK(earlier.isComplete);
        co_await gateway.learnDurations(*connection);
        gateway.terminate();
        co_await gateway.sleep(EventInterval);
        late = co_await gateway.streamWithDeadline(*connection, lateId, 40);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(isAnsweredOrNotRun(gateway, lateId, late));
}

TEST_CASE("a stream like many that were short is taken in a stop, and the line of its end says how it was admitted")
{
    StoppedGateway gateway;
    CallResult taken;
    CallResult longer;
    const std::string takenId = "taken";
    const std::string longerId = "longer";
    const auto scenario = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        co_await gateway.learnDurations(*connection);
        auto second = co_await gateway.connect();
        gateway.terminate();
        co_await gateway.sleep(EventInterval);
        taken = co_await gateway.streamWithDeadline(*second, takenId, 2);
        longer = co_await gateway.streamWithDeadline(*connection, longerId, 60);
    };
    gateway.run(scenario());
    const auto log = gateway.log();
    CAPTURE(log);
    CHECK(taken.status == Ok);
    CHECK(taken.isComplete);
    // Nothing could tell this one from the short ones.
    CHECK_FALSE(longer.isComplete);
    const auto line = lineOf(log, "event=ended-early request=" + longerId);
    CAPTURE(line);
    CHECK(line.find("admitted=usually-ends-in-time") != std::string::npos);
    CHECK(line.find("admitted_draining_ms=") != std::string::npos);
    CHECK(line.find("admitted_limit_ms=" + std::to_string(KnownDeadline.count())) != std::string::npos);
    CHECK(line.find("admitted_expected_ms=") != std::string::npos);
}

TEST_CASE("requests that reach a stopping process while it does not run, at the close of its socket and of its idle "
          "connections, are answered")
{
    constexpr Milliseconds Pause{300};
    StoppedGateway gateway;
    CallResult waiting;
    CallResult crossing;
    const std::string waitingId = "waiting";
    const std::string crossingId = "crossing";
    const auto connectAndPay = [&]() -> Task<> {
        auto connection = co_await gateway.connect();
        waiting = co_await gateway.pay(*connection, waitingId, Milliseconds(1), ShortDeadline);
    };
    const auto scenario = [&]() -> Task<> {
        auto kept = co_await gateway.connect();
        co_await gateway.streamOften(*kept, 1);
        gateway.terminate();
        co_await gateway.sleep(DrainGrace - EventInterval);
        gateway.signal(SIGSTOP);
        asio::co_spawn(co_await asio::this_coro::executor, connectAndPay(), asio::detached);
        co_await gateway.sleep(Pause);
        // The process closes its socket now, and idle connections 300 ms later.
        gateway.signal(SIGCONT);
        co_await gateway.sleep(Milliseconds(200));
        gateway.signal(SIGSTOP);
        asio::co_spawn(co_await asio::this_coro::executor, resumeLater(gateway, Pause), asio::detached);
        crossing = co_await gateway.pay(*kept, crossingId, Milliseconds(1), ShortDeadline);
    };
    gateway.run(scenario());
    CAPTURE(gateway.log());
    CHECK(waiting.status == Ok);
    CHECK(waiting.isComplete);
    CHECK(isAnsweredOrNotRun(gateway, crossingId, crossing));
}

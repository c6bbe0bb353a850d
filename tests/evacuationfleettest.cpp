// Guards against calls that gateways send to an evacuated failure domain after the limit, against a domain that gets no
// calls after its evacuation, and against streams that an evacuation cuts off.

#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr Milliseconds Limit{2000};
constexpr Milliseconds CallInterval{40};
constexpr Milliseconds SlowCallTime{200};
/// Streams that begin at the same time.
constexpr int StreamCount = 4;
/// One more than the slots of the near server, so that the last one is expected to begin sooner at the far server.
constexpr int MaxStreamCount = 9;
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
const std::string Near = "near";
const std::string Far = "far";
const std::string FarDomain = "d2";

/// Two gateways, one server in each of two failure domains, and calls to both gateways.
class EvacuatedFleet
{
public:
    EvacuatedFleet()
        : fleet(2, {Near, Far}, "evacuation_limit_ms: " + std::to_string(Limit.count()) + "\n")
    {
        fleet.onRun = [this](const std::string &server, const HttpRequest &request) {
            const std::string path(request.target());
            if (server == Far && (path == CallPath || path == SlowPath)) {
                m_lastFarRun = steadyNow();
            }
        };
        fleet.configure([](nlohmann::json &document) { document["routes"][2]["timeout-ms"] = 8000; });
        registerIn(FarDomain, 2);
        for (std::size_t host = 0; host < 2; ++host) {
            fleet.run(fleet.waitForLog(host, "event=configuration-in-force version=2"));
            fleet.run(fleet.waitForLog(host, "server=far service=shop address=" + farAddress() + " failure_domain=d2"));
        }
    }

    /// Registers the far server as a process in a failure domain.
    void registerIn(const std::string &domain, std::uint64_t startedAt)
    {
        const ServerEntry entry{Far, farAddress(), startedAt, false};
        auto document = nlohmann::json::parse(serverDocument(entry));
        document["zone"] = domain;
        fleet.store.put("servers", Far, document);
    }

    void setEvacuated(const std::string &domain, bool isEvacuated)
    {
        isEvacuated ? fleet.store.put("evacuations", domain, nlohmann::json::object())
                    : fleet.store.remove("evacuations", domain);
    }

    /// Sends calls to a host one after the other for some time.
    Task<> callFor(std::size_t host, Milliseconds time)
    {
        for (const auto end = steadyNow() + time; steadyNow() < end;) {
            const auto result = co_await callOnce(host);
            CHECK(result.status == Ok);
            co_await fleet.sleep(CallInterval);
        }
    }

    /// Sends calls to a host until one has run at the far server. More calls at a time than streams can run there:
    /// single calls all go to the near server while more streams run at the far one.
    Task<> callUntilFar(std::size_t host)
    {
        const auto begun = steadyNow();
        while (m_lastFarRun <= begun && steadyNow() < begun + Limit) {
            for (int call = 0; call < StreamCount + 2; ++call) {
                fleet.spawnTask(callSlowly(host));
            }
            co_await fleet.sleep(SlowCallTime);
        }
        CHECK(m_lastFarRun > begun);
        while (m_slowCalls > 0) {
            co_await fleet.sleep(CallInterval);
        }
    }

    Task<> callSlowly(std::size_t host)
    {
        ++m_slowCalls;
        auto request = GatewayFleet::makeCall(SlowPath, "call-" + std::to_string(++m_callCount));
        request.set("X-Delay-Ms", std::to_string(SlowCallTime.count()));
        const auto result = co_await fleet.call(host, request);
        CHECK(result.status == Ok);
        --m_slowCalls;
    }

    Task<CallResult> callOnce(std::size_t host)
    {
        return fleet.call(host, GatewayFleet::makeCall(CallPath, "call-" + std::to_string(++m_callCount)));
    }

    /// Checks that a host sends no call to the far server any more.
    void checkNoCallsToFar(std::size_t host)
    {
        const auto begun = steadyNow();
        fleet.run(callFor(host, Milliseconds(1000)));
        CHECK(m_lastFarRun < begun);
    }

    /// Starts streams at the first host until one runs at the far server. Servers that are expected to answer equally
    /// soon share them at random, so the first ones may all run at the near server.
    Task<> startStreams()
    {
        while (m_startedStreams < StreamCount) {
            startStream();
        }
        co_await callFor(0, Milliseconds(500));
        while (farStreams() == 0 && m_startedStreams < MaxStreamCount) {
            startStream();
            while (streamRuns() < m_startedStreams && m_endedStreams == 0) {
                co_await fleet.sleep(CallInterval);
            }
        }
        CHECK(farStreams() > 0);
    }

    /// Waits for the ends of all streams, and checks that each is whole and ran once.
    Task<> waitForStreams()
    {
        while (m_endedStreams < m_startedStreams) {
            co_await fleet.sleep(CallInterval);
        }
        CHECK(m_wholeStreams == m_startedStreams);
        CHECK(streamRuns() == m_startedStreams);
    }

    SteadyTime lastFarRun() const
    {
        return m_lastFarRun;
    }

    GatewayFleet fleet;

private:
    static constexpr int StreamEvents = 45;
    static inline const std::string CallPath = "/safe/ok";
    static inline const std::string SlowPath = "/safe/slow";

    static std::string streamId(int stream)
    {
        return "stream-" + std::to_string(stream);
    }

    void startStream()
    {
        fleet.spawnTask(readStream(streamId(m_startedStreams)));
        ++m_startedStreams;
    }

    /// Reads a stream that goes on for longer than the limit.
    Task<> readStream(std::string id)
    {
        auto request = GatewayFleet::makeCall("/draft/stream", id);
        request.set("X-Events", std::to_string(StreamEvents));
        request.set("X-Event-Interval-Ms", "100");
        request.set("Cardamomhill-Request-Deadline", "8000");
        const auto result = co_await fleet.call(0, request);
        m_wholeStreams += result.isComplete && result.status == Ok ? 1 : 0;
        ++m_endedStreams;
    }

    int farStreams()
    {
        int count = 0;
        for (int stream = 0; stream < m_startedStreams; ++stream) {
            count += fleet.runs[streamId(stream)][Far];
        }
        return count;
    }

    int streamRuns()
    {
        int count = 0;
        for (int stream = 0; stream < m_startedStreams; ++stream) {
            count += fleet.runsOf(streamId(stream));
        }
        return count;
    }

    std::string farAddress()
    {
        return controlAddress(fleet.server(Far).endpoint()).value();
    }

    SteadyTime m_lastFarRun{};
    int m_callCount = 0;
    int m_slowCalls = 0;
    int m_startedStreams = 0;
    int m_endedStreams = 0;
    int m_wholeStreams = 0;
};

} // namespace

TEST_CASE("calls to an evacuated domain stop within the limit and return, and a stream that runs there is whole")
{
    EvacuatedFleet evacuation;
    auto &fleet = evacuation.fleet;
    for (std::size_t host = 0; host < 2; ++host) {
        fleet.run(evacuation.callUntilFar(host));
    }
    fleet.kill(1);
    fleet.run(evacuation.startStreams());

    // The streams there do not keep calls away.
    fleet.run(evacuation.callUntilFar(0));
    const auto evacuatedAt = steadyNow();
    evacuation.setEvacuated(FarDomain, true);
    fleet.run(evacuation.callFor(0, Limit));
    CHECK(evacuation.lastFarRun() < evacuatedAt + Limit);
    CHECK(fleet.log(0).find("event=domain-evacuated failure_domain=d2 servers=1 calls=") != std::string::npos);
    evacuation.checkNoCallsToFar(0);

    // A gateway that starts during the evacuation is ready only once it knows of it.
    fleet.start(1);
    fleet.run(fleet.waitUntilReady());
    evacuation.checkNoCallsToFar(1);
    fleet.run(evacuation.waitForStreams());

    evacuation.setEvacuated(FarDomain, false);
    for (std::size_t host = 0; host < 2; ++host) {
        fleet.run(evacuation.callUntilFar(host));
        CHECK(fleet.log(host).find("event=domain-restored failure_domain=d2") != std::string::npos);
    }
}

TEST_CASE("calls are refused unsent while all domains are evacuated, and an outage of the store ends no evacuation")
{
    EvacuatedFleet evacuation;
    auto &fleet = evacuation.fleet;
    evacuation.setEvacuated(FarDomain, true);
    fleet.run(fleet.waitForLog(0, "event=domain-evacuated failure_domain=d2"));
    fleet.store.setDown(true);
    evacuation.setEvacuated(FarDomain, false);
    evacuation.checkNoCallsToFar(0);
    evacuation.setEvacuated(FarDomain, true);
    evacuation.setEvacuated("d1", true);
    fleet.store.setDown(false);
    fleet.run(fleet.waitForLog(0, "event=domain-evacuated failure_domain=d1"));
    const auto call = [&]() -> Task<> {
        const auto result = co_await fleet.call(0, GatewayFleet::makeCall("/pay/ok", "refused"));
        CHECK(result.status == Unavailable);
        CHECK_FALSE(result.retryAfter.empty());
    };
    fleet.run(call());
    CHECK(fleet.runsOf("refused") == 0);
    CHECK(fleet.log(0).find("detail=evacuated") != std::string::npos);

    // A server that moves to a domain which is not evacuated gets calls at once, and none after it moves back.
    evacuation.setEvacuated("d1", false);
    fleet.run(fleet.waitForLog(0, "event=domain-restored failure_domain=d1"));
    evacuation.registerIn("d1", 2);
    fleet.run(evacuation.callUntilFar(0));
    evacuation.registerIn(FarDomain, 2);
    fleet.run(fleet.sleep(Limit));
    evacuation.checkNoCallsToFar(0);
}

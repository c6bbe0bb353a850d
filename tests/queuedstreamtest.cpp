// Guards against streams that are given up while they wait in the queue of a group of engines: a host that has no other
// stream there took the silence for a group that makes no steps, and gave several up for one free place elsewhere.

#include "standins/enginegroup.h"
#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr int Slots = 12;
constexpr int Ranks = 2;
/// They fill the slots for 1.4 s, longer than the group of a stream may be silent and shorter than callers wait.
constexpr int EventsOfLongStream = 70;
/// They fill the slots for 3 s, longer than callers wait.
constexpr int EventsOfLongestStream = 150;
constexpr int RouteTimeout = 8000;
constexpr int WaitingStreams = 6;
constexpr int EventsOfWaitingStream = 3;
constexpr Milliseconds SlotsFillTime{200};
constexpr unsigned Ok = 200;

/// Two gateways before one group of engines.
class QueuedStreams
{
public:
    /// @param queue requests that may wait at a rank
    explicit QueuedStreams(std::size_t queue, int ranks = Ranks)
        : m_longCount(Slots * ranks)
        , m_fleet(2, {"plain"}, "retry_slack: 1000\n")
        , m_group(m_fleet.context(),
                  optionsWith(queue, ranks),
                  {[](const auto &) {}, [](const auto &) {}, [](const auto &) {}})
        , m_spareGroup(
              m_fleet.context(), spareOptions(), {[](const auto &) {}, [](const auto &) {}, [](const auto &) {}})
    {
        REQUIRE(m_group.start(m_fleet.store).has_value());
        m_fleet.configure([](nlohmann::json &document) {
            document["routes"][2]["service"] = "model";
            document["routes"][2]["timeout-ms"] = RouteTimeout;
            document["services"].push_back(EngineGroup::serviceDocument("model"));
        });
        for (std::size_t host = 0; host < 2; ++host) {
            m_fleet.run(m_fleet.waitForLog(host, "event=configuration-in-force version=2"));
            m_fleet.run(m_fleet.waitForLog(host, "event=server-present server=group-" + std::to_string(ranks - 1)));
        }
    }

    /// Fills the slots through the first gateway, then sends further streams through the second.
    void send(int eventsOfLongStream = EventsOfLongStream)
    {
        for (int stream = 0; stream < m_longCount; ++stream) {
            m_fleet.spawnTask(read(0, "long-" + std::to_string(stream), eventsOfLongStream));
        }
        m_fleet.run(m_fleet.sleep(SlotsFillTime));
        for (int stream = 0; stream < WaitingStreams; ++stream) {
            m_fleet.spawnTask(read(1, "waiting-" + std::to_string(stream), EventsOfWaitingStream));
        }
        m_fleet.run(waitForAll());
    }

    /// As send(), with a second group that has a single place and registers while the streams wait.
    void sendBeforeSpareGroup()
    {
        m_fleet.spawnTask(startSpareGroup());
        send(EventsOfLongestStream);
    }

    /// Streams that were answered in full.
    int wholeCount() const
    {
        return m_wholeCount;
    }

    std::string logOfWaiting() const
    {
        return m_fleet.log(1);
    }

private:
    static EngineGroupOptions optionsWith(std::size_t queue, int ranks)
    {
        EngineGroupOptions options;
        options.name = "group";
        options.service = "model";
        options.ranks = static_cast<std::size_t>(ranks);
        options.slots = Slots;
        options.queue = queue;
        return options;
    }

    static EngineGroupOptions spareOptions()
    {
        auto options = optionsWith(1, 1);
        options.name = "spare";
        options.slots = 1;
        return options;
    }

    Task<> startSpareGroup()
    {
        co_await m_fleet.sleep(2 * SlotsFillTime);
        CHECK(m_spareGroup.start(m_fleet.store).has_value());
    }

    Task<> read(std::size_t host, std::string id, int events)
    {
        auto request = GatewayFleet::makeCall("/draft/stream", id);
        request.set("X-Events", std::to_string(events));
        const auto result = co_await m_fleet.call(host, request);
        m_wholeCount += result.isComplete && result.status == Ok ? 1 : 0;
        ++m_endedCount;
    }

    Task<> waitForAll()
    {
        while (m_endedCount < m_longCount + WaitingStreams) {
            co_await m_fleet.sleep(Milliseconds(20));
        }
    }

    int m_longCount;
    int m_wholeCount = 0;
    int m_endedCount = 0;
    GatewayFleet m_fleet;
    EngineGroup m_group;
    EngineGroup m_spareGroup;
};

} // namespace

TEST_CASE("a stream that waits in the queue of a group is not given up for the group's silence")
{
    QueuedStreams streams(WaitingStreams);
    streams.send();
    CHECK(streams.wholeCount() == Slots * Ranks + WaitingStreams);
    CHECK(streams.logOfWaiting().find("the group makes no steps") == std::string::npos);
}

TEST_CASE("of several streams that wait too long, only as many are given up as another server has places")
{
    // With one rank, streams that wait have no other server until the second group registers.
    QueuedStreams streams(WaitingStreams, 1);
    streams.sendBeforeSpareGroup();
    const auto log = streams.logOfWaiting();
    CAPTURE(log);
    CHECK(streams.wholeCount() == Slots + WaitingStreams);
    // Some stream went to the single place.
    CHECK(log.find("cause=\"the group makes no steps\"") != std::string::npos);
    CHECK(log.find("server=spare-0") != std::string::npos);
}

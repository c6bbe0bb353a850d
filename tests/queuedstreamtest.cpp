// Guards against streams that are given up while they wait in the queue of a group of engines: a host that has no other
// stream there took the silence for a group that makes no steps.

#include "standins/enginegroup.h"
#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr int Slots = 12;
constexpr int Ranks = 2;
/// They fill the slots for 1.4 s, longer than the group of a stream may be silent and shorter than callers wait.
constexpr int EventsOfLongStream = 70;
constexpr int WaitingStreams = 6;
constexpr int EventsOfWaitingStream = 3;
constexpr Milliseconds SlotsFillTime{200};
constexpr unsigned Ok = 200;

/// Two gateways before one group of engines.
class QueuedStreams
{
public:
    /// @param queue requests that may wait at a rank
    explicit QueuedStreams(std::size_t queue)
        : m_fleet(2, {"plain"})
        , m_group(
              m_fleet.context(), optionsWith(queue), {[](const auto &) {}, [](const auto &) {}, [](const auto &) {}})
    {
        REQUIRE(m_group.start(m_fleet.store).has_value());
        m_fleet.configure([](nlohmann::json &document) {
            document["routes"][2]["service"] = "model";
            document["services"].push_back(EngineGroup::serviceDocument("model"));
        });
        for (std::size_t host = 0; host < 2; ++host) {
            m_fleet.run(m_fleet.waitForLog(host, "event=configuration-in-force version=2"));
            m_fleet.run(m_fleet.waitForLog(host, "event=server-present server=group-1"));
        }
    }

    /// Fills the slots through the first gateway, then sends further streams through the second.
    void send()
    {
        for (int stream = 0; stream < Slots * Ranks; ++stream) {
            m_fleet.spawnTask(read(0, "long-" + std::to_string(stream), EventsOfLongStream));
        }
        m_fleet.run(m_fleet.sleep(SlotsFillTime));
        for (int stream = 0; stream < WaitingStreams; ++stream) {
            m_fleet.spawnTask(read(1, "waiting-" + std::to_string(stream), EventsOfWaitingStream));
        }
        m_fleet.run(waitForAll());
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
    static EngineGroupOptions optionsWith(std::size_t queue)
    {
        EngineGroupOptions options;
        options.name = "group";
        options.service = "model";
        options.ranks = Ranks;
        options.slots = Slots;
        options.queue = queue;
        return options;
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
        while (m_endedCount < Slots * Ranks + WaitingStreams) {
            co_await m_fleet.sleep(Milliseconds(20));
        }
    }

    int m_wholeCount = 0;
    int m_endedCount = 0;
    GatewayFleet m_fleet;
    EngineGroup m_group;
};

} // namespace

TEST_CASE("a stream that waits in the queue of a group is not given up for the group's silence")
{
    QueuedStreams streams(WaitingStreams);
    streams.send();
    CHECK(streams.wholeCount() == Slots * Ranks + WaitingStreams);
    CHECK(streams.logOfWaiting().find("the group makes no steps") == std::string::npos);
}

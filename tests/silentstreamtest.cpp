// Guards against streams that are cut because their server paused: the server was given up before another one had gone
// on with the stream, and then none did.

#include "support/gatewayfleet.h"

using namespace Cardamomhill;

namespace
{

constexpr int Streams = 20;
constexpr int Events = 4;
constexpr Milliseconds EventInterval{50};
/// Longer than a stream may be silent before it is resumed elsewhere, shorter than callers wait.
constexpr Milliseconds Pause{1500};

std::string wholeBody()
{
    std::string body;
    for (int number = 1; number <= Events; ++number) {
        body += "id: " + std::to_string(number) + "\ndata: event-" + std::to_string(number) + "\n\n";
    }
    return body;
}

/// Streams through one gateway to servers that pause before their last events.
class PausingStreams
{
public:
    /// @param path how the servers answer a stream that is resumed
    explicit PausingStreams(const std::string &path)
        : m_fleet(1, {"good-1", "good-2", "good-3"})
    {
        for (int stream = 0; stream < Streams; ++stream) {
            m_fleet.spawnTask(read(path, "c" + std::to_string(stream)));
        }
    }

    void terminateAfter(Milliseconds time)
    {
        m_fleet.run(m_fleet.sleep(time));
        m_fleet.terminate(0);
    }

    /// The number of streams whose callers got every event once and in order, and the end.
    int wholeCount()
    {
        m_fleet.run(waitForAll());
        return m_wholeCount;
    }

    std::string log() const
    {
        return m_fleet.log(0);
    }

private:
    Task<> read(std::string path, std::string id)
    {
        auto request = GatewayFleet::makeCall(path, id);
        request.set("X-Events", std::to_string(Events));
        request.set("X-Event-Interval-Ms", std::to_string(EventInterval.count()));
        request.set("X-Last-Interval-Ms", std::to_string(Pause.count()));
        const auto result = co_await m_fleet.call(0, request);
        const bool isWhole = result.isComplete && result.body == wholeBody();
        m_wholeCount += isWhole ? 1 : 0;
        ++m_endedCount;
    }

    Task<> waitForAll()
    {
        while (m_endedCount < Streams) {
            co_await m_fleet.sleep(EventInterval);
        }
    }

    int m_wholeCount = 0;
    int m_endedCount = 0;
    GatewayFleet m_fleet;
};

} // namespace

TEST_CASE("a stream whose server pauses is not cut, whatever the other servers do with a resumed stream")
{
    for (const auto *path : {"/draft/paused-refused", "/draft/paused-closed", "/draft/stream", "/draft/paused-taken"}) {
        CAPTURE(path);
        PausingStreams streams(path);
        CHECK(streams.wholeCount() == Streams);
    }
}

TEST_CASE("a stream whose server pauses around a planned stop is not cut")
{
    for (const auto *path : {"/draft/paused-refused", "/draft/paused-closed", "/draft/stream"}) {
        CAPTURE(path);
        PausingStreams streams(path);
        streams.terminateAfter(Milliseconds(300));
        CHECK(streams.wholeCount() == Streams);
    }
}

TEST_CASE("a stream goes on at another server that continues it sooner")
{
    PausingStreams streams("/draft/paused-taken");
    CHECK(streams.wholeCount() == Streams);
    CHECK(streams.log().find("event=continuation-begun") != std::string::npos);
    CHECK(streams.log().find("cause=\"the stream goes on at another server\"") != std::string::npos);
}

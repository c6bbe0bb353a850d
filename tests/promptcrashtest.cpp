#include "support/gatewayfleet.h"

#include <set>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t HostCount = 3;
constexpr int ServerCount = 8;
constexpr Milliseconds BadInterval{200};
constexpr Milliseconds SoundInterval{40};
constexpr Milliseconds CrashDelay{30};
constexpr Milliseconds RestartTime{2000};
constexpr Milliseconds StableWindow{3000};
constexpr Milliseconds Duration{14000};
constexpr std::size_t CrashesToLearnFrom = 5;
constexpr std::size_t MaxCallsAfterwards = 3;
constexpr unsigned Ok = 200;
const std::string PrefixHeader = "Cardamomhill-Prompt-Prefix";

/// What the prompts of all calls look like.
struct PromptShape {
    /// Parts that all calls share, before the one that may crash servers.
    int sharedPartCount = 1;
    /// The id of the part that crashes servers.
    std::string badId = "bad";
};

/// Servers that crash of calls with one part in their prompts, under calls with and without it.
class CrashingFleet
{
public:
    explicit CrashingFleet(PromptShape shape = {})
        : fleet(HostCount, serverIds(), "retry_slack: 1000\n")
        , m_shape(std::move(shape))
    {
        fleet.onRun = [this](const std::string &server, const HttpRequest &request) { receive(server, request); };
    }

    Task<> run(Milliseconds duration)
    {
        const auto end = steadyNow() + duration;
        fleet.spawnTask(sendAll("bad", BadInterval, end));
        co_await sendAll("sound", SoundInterval, end);
        while (m_openCalls > 0) {
            co_await fleet.sleep(SoundInterval);
        }
    }

    /// Restarts all hosts at once.
    Task<> restart()
    {
        for (std::size_t host = 0; host < HostCount; ++host) {
            fleet.kill(host);
        }
        for (std::size_t host = 0; host < HostCount; ++host) {
            fleet.start(host);
        }
        co_await fleet.waitUntilReady();
    }

    /// When the crashes that the fleet may learn from were over.
    SteadyTime learnedAt() const
    {
        return crashes.empty() ? SteadyTime() : crashes[std::min(crashes.size(), CrashesToLearnFrom) - 1];
    }

    /// Calls with the part that reached a server although the fleet had to know it.
    std::size_t lateArrivals() const
    {
        return countAfter(m_arrivals, learnedAt() + StableWindow);
    }

    /// Calls without the part that were sent when the fleet had to know it.
    std::size_t soundCalls() const
    {
        return countAfter(m_soundCalls, learnedAt() + 2 * StableWindow);
    }

    /// Those of them that got a whole answer.
    std::size_t soundAnswers() const
    {
        return countAfter(m_answeredCalls, learnedAt() + 2 * StableWindow);
    }

    GatewayFleet fleet;
    std::vector<SteadyTime> crashes;

private:
    static std::size_t countAfter(const std::vector<SteadyTime> &times, SteadyTime begin)
    {
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(), [begin](SteadyTime time) { return time > begin; }));
    }

    static std::vector<std::string> serverIds()
    {
        std::vector<std::string> ids;
        ids.reserve(ServerCount);
        for (int number = 0; number < ServerCount; ++number) {
            ids.push_back("s" + std::to_string(number));
        }
        return ids;
    }

    void receive(const std::string &server, const HttpRequest &request)
    {
        if (std::string(request[PrefixHeader]).find(m_shape.badId + ":") != std::string::npos) {
            m_arrivals.push_back(steadyNow());
            fleet.spawnTask(crash(server));
        }
    }

    Task<> crash(std::string server)
    {
        co_await fleet.sleep(CrashDelay);
        if (!m_crashed.insert(server).second) {
            co_return;
        }
        crashes.push_back(steadyNow());
        fleet.server(server).stop();
        co_await fleet.sleep(RestartTime);
        fleet.store.remove("servers", server);
        fleet.addServer("r" + std::to_string(++m_restarts), 1);
    }

    Task<> sendAll(std::string kind, Milliseconds interval, SteadyTime end)
    {
        for (int number = 0; steadyNow() < end; ++number) {
            fleet.spawnTask(send(kind, number));
            co_await fleet.sleep(interval);
        }
    }

    Task<> send(std::string kind, int number)
    {
        ++m_openCalls;
        const auto id = kind + std::to_string(number);
        auto request = GatewayFleet::makeCall("/draft/stream", id);
        std::string prompt;
        for (int part = 0; part < m_shape.sharedPartCount; ++part) {
            prompt += "common" + std::to_string(part) + ":40,";
        }
        prompt += kind == "bad" ? m_shape.badId : "topic" + std::to_string(number % 5);
        request.set(PrefixHeader, prompt + ":20," + id + ":5");
        const auto sentAt = steadyNow();
        const auto result = co_await fleet.call(static_cast<std::size_t>(number) % HostCount, std::move(request));
        if (kind == "sound") {
            m_soundCalls.push_back(sentAt);
        }
        if (kind == "sound" && result.status == Ok && result.isComplete) {
            m_answeredCalls.push_back(sentAt);
        }
        --m_openCalls;
    }

    PromptShape m_shape;
    std::vector<SteadyTime> m_arrivals;
    /// When each call without the part was sent, and those that got a whole answer.
    std::vector<SteadyTime> m_soundCalls;
    std::vector<SteadyTime> m_answeredCalls;
    std::set<std::string> m_crashed;
    int m_restarts = 0;
    int m_openCalls = 0;
};

/// Plays calls with and without the part, and checks that the part is blocked in time and the other calls are served.
void checkBlocking(const PromptShape &shape)
{
    CrashingFleet crashing(shape);
    crashing.fleet.run(crashing.run(Duration));
    MESSAGE(crashing.crashes.size(),
            " crashes, ",
            crashing.lateArrivals(),
            " late arrivals, ",
            crashing.soundAnswers(),
            " of ",
            crashing.soundCalls(),
            " sound calls answered");
    CHECK(crashing.crashes.size() > 2);
    CHECK(crashing.lateArrivals() <= MaxCallsAfterwards);
    CHECK(crashing.soundCalls() > 20);
    CHECK(crashing.soundAnswers() * 2 > crashing.soundCalls());
}

} // namespace

TEST_CASE(
    "calls with a part in their prompts that crashes servers stop reaching servers, and calls without it are served")
{
    checkBlocking(PromptShape());
}

// Guards against parts that are never blocked because of their place or the length of their ids.
TEST_CASE("a part that crashes servers is blocked behind hundreds of other parts, and with an id of any length")
{
    for (const auto &shape : {PromptShape{60, "bad"}, PromptShape{300, "bad"}, PromptShape{2, std::string(128, 'b')}}) {
        CAPTURE(shape.sharedPartCount);
        CAPTURE(shape.badId);
        checkBlocking(shape);
    }
}

TEST_CASE("calls with a part in their prompts that crashes servers reach no server after all hosts have restarted")
{
    constexpr Milliseconds ShortDuration{3000};
    CrashingFleet crashing;
    crashing.fleet.run(crashing.run(ShortDuration));
    const auto crashes = crashing.crashes.size();
    CHECK(crashes > 0);
    crashing.fleet.run(crashing.restart());
    crashing.fleet.run(crashing.run(ShortDuration));
    CHECK(crashing.crashes.size() == crashes);
}

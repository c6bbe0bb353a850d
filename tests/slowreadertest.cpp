// Guards against a gateway that ends, hangs or outgrows its host because many callers request answers and streams and
// read nothing.

#include "support/gatewayfleet.h"
#include "support/processstatus.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <sstream>

using namespace Cardamomhill;

namespace
{

constexpr std::size_t MegabyteKilobytes = 1024;
/// The settings of the process: with 1,000 descriptors it takes (1,000 - 200) / 2 connections of callers.
const std::string Settings = "memory_megabytes: 64\nmax_descriptors: 1000\n";
constexpr std::size_t MaxDescriptors = 1000;
/// Fewer than the connections that the process takes, so that it can't turn them away.
constexpr std::size_t CrowdSize = 300;
/// Just below the largest answer and the largest event that a gateway holds for one call, 256 KiB. Those of the crowd
/// take 72 MB together, more than the memory of the host.
constexpr std::size_t HeldBytes = 250'000;
/// Two of these are over that limit, so a larger answer is relayed piece by piece.
constexpr std::size_t EventCount = 3;
/// Bounds on how much memory grows from that of an idle process: at any time, and once the crowd is gone. What waits in
/// the queues of its sockets to callers and servers counts, since it takes the host's memory like what it holds. The
/// memory of the host less 24 MB for the idle process and for what else the host runs, and the bound of bodymemorytest.
constexpr std::size_t MaxPeakGrowthKilobytes = 40 * MegabyteKilobytes;
constexpr std::size_t MaxLastingGrowthKilobytes = 24 * MegabyteKilobytes;
/// A caller's own buffer is small, so that what it does not read stays at the gateway.
constexpr int ReceiveBufferBytes = 4096;
/// Only end a test that hangs.
constexpr Milliseconds CrowdTimeout{60'000};
constexpr Milliseconds ReturnTimeout{30'000};
constexpr Milliseconds PollInterval{20};
/// Members that join at the same time, so that the queue of the listening socket is never full.
constexpr std::size_t JoiningCount = 20;
constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;

std::string chunk(const std::string &text)
{
    std::ostringstream head;
    head << std::hex << text.size() << "\r\n";
    return head.str() + text + "\r\n";
}

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// The fields and the body of an answer, without what names the call.
std::string plainAnswer(std::size_t bytes)
{
    return lengthField(bytes) + std::string(bytes, 'x');
}

std::string eventStream(std::size_t eventBytes, std::size_t count)
{
    std::string text = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t number = 1; number <= count; ++number) {
        text += chunk("id: " + std::to_string(number) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
    }
    return text + "0\r\n\r\n";
}

class GatewayOfSlowReaders
{
public:
    GatewayOfSlowReaders()
        : m_fleet((setenv("ASAN_OPTIONS", "quarantine_size_mb=1:allocator_release_to_os_interval_ms=0", 1), 1),
                  {"s1"},
                  Settings)
    {
        m_fleet.configure([](nlohmann::json &document) {
            for (auto &route : document["routes"]) {
                route["timeout-ms"] = CrowdTimeout.count();
            }
        });
        m_fleet.run(m_fleet.waitForLog(0, "event=configuration-in-force version=2"));
        m_fleet.run(registerLargeServer());
        m_idleKilobytes = status().memoryKilobytes("VmRSS");
    }

    /// Has a crowd request this answer and read nothing, and checks the process while the connections are open and once
    /// they are closed.
    void answer(const std::string &path, const std::string &fieldsAndBody)
    {
        m_fleet.server("s1").setRawAnswer([&fieldsAndBody](const HttpRequest &request) {
            // An ordinary caller's call, which has an id of its own choice, gets a short answer.
            const std::string id(request["Cardamomhill-Request-Id"]);
            const bool isOrdinary = id.starts_with(OrdinaryId);
            return DirectBackend::RawAnswer{"HTTP/1.1 200 X\r\nCardamomhill-Request-Id: " + id
                                            + "\r\nCardamomhill-Response-Seal: seal\r\n"
                                            + (isOrdinary ? plainAnswer(OrdinaryBytes) : fieldsAndBody)};
        });
        m_fleet.run(openCrowd(path));
        checkProcess();
        m_fleet.run(callUntilServed("beside"));
        m_crowd.clear();
        m_fleet.run(callUntilServed("after"));
        m_fleet.run(waitForMemory());
        checkProcess();
    }

private:
    /// Registers the server with a slot for each member of the crowd, so that none is refused for want of one.
    Task<> registerLargeServer()
    {
        const ServerEntry entry{"s1", controlAddress(m_fleet.server("s1").endpoint()).value(), 2, false};
        auto document = nlohmann::json::parse(serverDocument(entry));
        document["slots"] = 2 * CrowdSize;
        m_fleet.store.put("servers", "s1", document);
        const auto deadline = steadyNow() + CrowdTimeout;
        // The first line is of the server's earlier registration.
        const auto isKnown = [this] {
            const std::string text = "event=server-present server=s1";
            const auto log = m_fleet.log(0);
            return log.find(text) != log.rfind(text);
        };
        while (!isKnown() && steadyNow() < deadline) {
            co_await m_fleet.sleep(PollInterval);
        }
        CHECK(isKnown());
    }

    static constexpr const char *OrdinaryId = "ordinary-";
    static constexpr std::size_t OrdinaryBytes = 100;

    struct Member {
        explicit Member(asio::io_context &context)
            : socket(context)
        {
        }

        tcp::socket socket;
        /// It has begun to get an answer, or its connection was closed.
        bool isReadable = false;
    };

    Task<> openCrowd(std::string path)
    {
        const auto isReadable = [](const auto &member) { return member->isReadable; };
        const auto deadline = steadyNow() + CrowdTimeout;
        while (m_crowd.size() < CrowdSize && steadyNow() < deadline) {
            for (std::size_t i = 0; i < JoiningCount; ++i) {
                auto member = std::make_shared<Member>(m_fleet.context());
                m_crowd.push_back(member);
                m_fleet.spawnTask(request(member, path));
            }
            while (!std::all_of(m_crowd.begin(), m_crowd.end(), isReadable) && steadyNow() < deadline) {
                co_await m_fleet.sleep(PollInterval);
            }
        }
        CHECK(m_crowd.size() == CrowdSize);
        co_await waitUntilStalled();
        CHECK(std::all_of(m_crowd.begin(), m_crowd.end(), isReadable));
        MESSAGE("calls that reached the server: " << m_fleet.server("s1").callCount());
    }

    /// Waits until nothing more arrives at the gateway or leaves it, and measures meanwhile.
    Task<> waitUntilStalled()
    {
        constexpr int EqualCount = 10;
        const auto deadline = steadyNow() + CrowdTimeout;
        std::size_t last = 0;
        for (int equal = 0; equal < EqualCount && steadyNow() < deadline;) {
            const auto held = growth();
            m_peakGrowth = std::max(m_peakGrowth, held);
            equal = held == last ? equal + 1 : 0;
            last = held;
            co_await m_fleet.sleep(PollInterval);
        }
    }

    Task<> request(std::shared_ptr<Member> member, std::string path)
    {
        SystemError error;
        member->socket.open(tcp::v4(), error);
        member->socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), error);
        co_await member->socket.async_connect(m_fleet.listenAddress(0), storeError(error));
        const std::string head
            = "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token k\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(member->socket, asio::buffer(head), storeError(error));
        co_await member->socket.async_wait(tcp::socket::wait_read, storeError(error));
        member->isReadable = true;
    }

    /// Calls again after a 503 or a closed connection, as a caller does.
    Task<> callUntilServed(std::string name)
    {
        const auto deadline = steadyNow() + ReturnTimeout;
        CallResult result;
        do {
            auto request = GatewayFleet::makeCall("/safe/x", OrdinaryId + name);
            result = co_await m_fleet.call(0, std::move(request));
            co_await m_fleet.sleep(PollInterval);
        } while ((result.status == Unavailable || result.status == 0) && steadyNow() < deadline);
        CHECK(result.status == Ok);
        CHECK(result.isComplete);
        CHECK(result.body.size() == OrdinaryBytes);
    }

    Task<> waitForMemory()
    {
        const auto deadline = steadyNow() + ReturnTimeout;
        while (growth() > MaxLastingGrowthKilobytes && steadyNow() < deadline) {
            co_await m_fleet.sleep(PollInterval);
        }
        CHECK(growth() <= MaxLastingGrowthKilobytes);
        MESSAGE("lasting growth in kB: " << growth());
    }

    std::size_t growth()
    {
        const auto held = status().memoryKilobytes("VmRSS")
            + ProcessStatus::sendQueueKilobytes(m_fleet.listenAddress(0).port())
            + ProcessStatus::receiveQueueKilobytes(m_fleet.server("s1").endpoint().port());
        return held - std::min(held, m_idleKilobytes);
    }

    void checkProcess()
    {
        REQUIRE(!m_fleet.process(0).hasEnded());
        const auto residentGrowth = status().memoryKilobytes("VmHWM") - m_idleKilobytes;
        const auto descriptors = status().descriptorCount();
        MESSAGE("idle kB: " << m_idleKilobytes << ", peak growth kB: " << m_peakGrowth
                            << ", of the resident set: " << residentGrowth << ", descriptors: " << descriptors);
        CHECK(std::max(m_peakGrowth, residentGrowth) <= MaxPeakGrowthKilobytes);
        CHECK(descriptors <= MaxDescriptors);
    }

    ProcessStatus status()
    {
        return ProcessStatus(m_fleet.process(0).id());
    }

    GatewayFleet m_fleet;
    std::vector<std::shared_ptr<Member>> m_crowd;
    std::size_t m_idleKilobytes = 0;
    std::size_t m_peakGrowth = 0;
};

} // namespace

TEST_CASE("answers just below the largest one that is held whole")
{
    GatewayOfSlowReaders().answer("/safe/x", plainAnswer(HeldBytes));
}

TEST_CASE("answers that are too large to be held whole")
{
    GatewayOfSlowReaders().answer("/safe/x", plainAnswer(EventCount * HeldBytes));
}

TEST_CASE("streams of events just below the largest one")
{
    GatewayOfSlowReaders().answer("/draft/x", eventStream(HeldBytes, EventCount));
}

TEST_CASE("streams of small events")
{
    constexpr std::size_t SmallEventBytes = 1000;
    GatewayOfSlowReaders().answer("/draft/x", eventStream(SmallEventBytes, EventCount * HeldBytes / SmallEventBytes));
}

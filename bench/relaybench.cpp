#include "bench/relay/relayfleet.h"
#include "logging/logging.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/steadynow.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>

// Compares relaying through an entry process and an agent with a direct connection to the backend server, in one run:
// latency of small answers while up to 360 streams run (one node's share of the peak), and streamed tokens per second.

namespace
{

using namespace Cardamomhill;

constexpr unsigned Streams = 360;
constexpr unsigned TokensPerStream = 10'000;
constexpr unsigned SmallRequests = 750;
/// 25 requests/s on each of the two routes.
constexpr Milliseconds RequestPeriod{20};
constexpr Milliseconds Timeout{60'000};
constexpr unsigned BurstStreams = 4;

struct Route {
    const char *name;
    std::uint16_t port;
    std::string prefix;
};

HttpRequest request(const Route &route, std::string_view method, const std::string &path, std::string body = {})
{
    auto made = makeHttpRequest(method, route.prefix + path, std::move(body));
    made.set(boost::beast::http::field::authorization, std::string("Bearer ") + RelayFleet::Token);
    return made;
}

/// Starts one stream after a delay, which differs between streams so that the engines' steps are not in phase.
Task<> runStream(asio::io_context &context,
                 const Route &route,
                 Milliseconds delay,
                 std::atomic<bool> &stop,
                 std::atomic<unsigned> &running)
{
    asio::steady_timer timer(context, delay);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
    HttpClientConnection connection(context);
    const auto connected = co_await connection.connect(RelayFleet::local(route.port), Timeout);
    if (connected.has_error()) {
        co_return;
    }
    const auto body = R"({"prompt":"s","stream":true,"tokens":)" + std::to_string(TokensPerStream) + "}";
    const auto started = co_await connection.start(request(route, "POST", "/generate", body), Timeout);
    if (started.has_error() || connection.status() != 200) {
        co_return;
    }
    ++running;
    while (!stop) {
        const auto piece = co_await connection.readSome(Timeout);
        if (piece.has_error() || !piece.value()) {
            break;
        }
    }
    connection.cancel();
}

Task<> timeRequest(HttpClient &client, const Route &route, std::vector<double> &latencies, unsigned &failures)
{
    const auto start = steadyNow();
    const auto response = co_await client.call(request(route, "GET", "/small"), Timeout);
    if (response.has_error() || response.value().status != 200) {
        ++failures;
        co_return;
    }
    latencies.push_back(std::chrono::duration<double, std::milli>(steadyNow() - start).count());
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1))];
}

/// Alternates requests between both routes, so that both are measured under the same load of the machine.
Task<> timeRequests(asio::io_context &context, const Route &direct, const Route &relayed)
{
    HttpClient directClient(context, RelayFleet::local(direct.port));
    HttpClient relayedClient(context, RelayFleet::local(relayed.port));
    std::vector<double> directLatencies;
    std::vector<double> relayedLatencies;
    unsigned failures = 0;
    asio::steady_timer timer(context);
    auto next = steadyNow();
    for (unsigned i = 0; i < SmallRequests; ++i) {
        co_await timeRequest(directClient, direct, directLatencies, failures);
        next += RequestPeriod;
        SystemError ignored;
        timer.expires_at(next);
        co_await timer.async_wait(storeError(ignored));
        co_await timeRequest(relayedClient, relayed, relayedLatencies, failures);
        next += RequestPeriod;
        timer.expires_at(next);
        co_await timer.async_wait(storeError(ignored));
    }
    for (const double probability : {0.5, 0.99}) {
        const double without = quantile(directLatencies, probability);
        const double with = quantile(relayedLatencies, probability);
        std::printf("latency p%-4g direct %.3f ms, relayed %.3f ms, added %.3f ms, ratio %.2f\n",
                    100 * probability,
                    without,
                    with,
                    with - without,
                    with / without);
    }
    std::printf("requests per route %u, failures %u\n", SmallRequests, failures);
}

Task<> readBurst(asio::io_context &context, const Route &route, std::uint64_t &bytes, unsigned &complete)
{
    HttpClientConnection connection(context);
    const auto connected = co_await connection.connect(RelayFleet::local(route.port), Timeout);
    if (connected.has_error()) {
        co_return;
    }
    const auto started = co_await connection.start(request(route, "GET", "/burst"), Timeout);
    if (started.has_error()) {
        co_return;
    }
    while (true) {
        const auto piece = co_await connection.readSome(Timeout);
        if (piece.has_error()) {
            break;
        }
        if (!piece.value()) {
            ++complete;
            break;
        }
        bytes += piece.value()->size();
    }
}

double tokensPerSecond(const Route &route)
{
    asio::io_context context;
    std::uint64_t bytes = 0;
    unsigned complete = 0;
    const auto start = steadyNow();
    for (unsigned i = 0; i < BurstStreams; ++i) {
        asio::co_spawn(context, readBurst(context, route, bytes, complete), asio::detached);
    }
    context.run();
    const double seconds = std::chrono::duration<double>(steadyNow() - start).count();
    const auto tokens = static_cast<double>(BurstStreams * BurstServer::EventsPerStream * BurstServer::TokensPerEvent);
    std::printf("tokens %s: %.0f/s, %u of %u streams complete, %.1f MB/s\n",
                route.name,
                tokens / seconds,
                complete,
                BurstStreams,
                static_cast<double>(bytes) / seconds / 1e6);
    return complete == BurstStreams ? tokens / seconds : 0;
}

void measureLatency(unsigned streamCount)
{
    const Route engineStreams{"relayed", RelayFleet::EntryPort, "/v1/services/chat"};
    const Route direct{"direct", RelayFleet::BurstPort, ""};
    const Route relayed{"relayed", RelayFleet::EntryPort, "/v1/services/burst"};
    std::atomic<bool> stop = false;
    std::atomic<unsigned> running = 0;
    asio::io_context streams;
    for (unsigned i = 0; i < streamCount; ++i) {
        const Milliseconds delay(7 * i);
        asio::co_spawn(streams, runStream(streams, engineStreams, delay, stop, running), asio::detached);
    }
    std::thread streamThread([&streams] { streams.run(); });
    std::this_thread::sleep_for(Seconds(5));
    std::printf("streams running: %u of %u, one token every 33 ms\n", running.load(), streamCount);
    asio::io_context context;
    asio::co_spawn(context, timeRequests(context, direct, relayed), asio::detached);
    context.run();
    stop = true;
    streamThread.join();
}

void measureThroughput()
{
    const double direct = tokensPerSecond({"direct", RelayFleet::BurstPort, ""});
    const double relayed = tokensPerSecond({"relayed", RelayFleet::EntryPort, "/v1/services/burst"});
    std::printf("tokens relayed/direct: %.2f\n", relayed / direct);
}

} // namespace

int main()
{
    startLogging(LogLevel::Error);
    RelayFleet fleet;
    if (!fleet.start()) {
        return 1;
    }
    for (const unsigned streams : {0U, Streams / 4, Streams}) {
        measureLatency(streams);
    }
    measureThroughput();
    return 0;
}

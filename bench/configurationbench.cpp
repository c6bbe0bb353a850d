#include "config/config.h"
#include "entry/trafficthread.h"
#include "metrics/metricsregistry.h"
#include "objectstore/localobjectstore.h"
#include "objectstore/versionedobject.h"
#include "settings/entrysettings.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

// Measures the memory of the configuration in an entry process and the time of one change, by number of organisations
// and backend servers. The baseline rebuilds the whole configuration for each change.

namespace
{

using namespace Cardamomhill;
using Clock = std::chrono::steady_clock;

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double microseconds(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

VersionedObject organisation(std::uint64_t number, std::uint64_t version)
{
    const auto name = "organisation-" + std::to_string(number);
    return {{"organisations", name}, version, R"({"weight":1,"token_sha256":[")" + tokenHash(name) + R"("]})", false};
}

VersionedObject backendServer(std::uint64_t number, std::uint64_t version)
{
    return {
        {"backendservers", "server-" + std::to_string(number)},
        version,
        R"({"service":"chat","failure_domain":"domain-1","agent_address":"10.0.0.1","agent_port":7000,"capacity":64})",
        false};
}

struct Sizes {
    std::uint64_t organisations;
    std::uint64_t servers;
};

/// The object store and the configuration of an entry process.
struct ProcessConfiguration {
    LocalObjectStore store;
    ConfigurationBuilder builder;
    std::shared_ptr<const Configuration> snapshot;

    void apply(const VersionedObject &object)
    {
        store.merge(object);
        builder.apply(object);
    }
};

std::unique_ptr<ProcessConfiguration> build(const Sizes &sizes)
{
    auto process = std::make_unique<ProcessConfiguration>();
    std::uint64_t version = 0;
    for (std::uint64_t i = 0; i < sizes.organisations; ++i) {
        process->apply(organisation(i, ++version));
    }
    for (std::uint64_t i = 0; i < sizes.servers; ++i) {
        process->apply(backendServer(i, ++version));
    }
    process->snapshot = process->builder.snapshot();
    return process;
}

void measure(const Sizes &sizes)
{
    constexpr int Changes = 20;
    const double before = heapBytes();
    const auto start = Clock::now();
    const auto process = build(sizes);
    const double rebuild = microseconds(start);
    const double bytes = heapBytes() - before;
    const auto changeStart = Clock::now();
    for (int i = 0; i < Changes; ++i) {
        process->apply(organisation(0, 10'000'000 + static_cast<std::uint64_t>(i)));
        process->snapshot = process->builder.snapshot();
    }
    const double change = microseconds(changeStart) / Changes;
    std::printf("%7lu organisations %5lu servers: %8.2f MB, change %9.0f us, full rebuild %10.0f us, ratio %.4f\n",
                sizes.organisations,
                sizes.servers,
                bytes / 1e6,
                change,
                rebuild,
                change / rebuild);
}

/// Measures the memory that one traffic thread adds for its links and routing state.
void measureTrafficThread(std::uint64_t servers)
{
    const auto process = build({0, servers});
    EntrySettings settings;
    settings.host = HostId("bench");
    settings.failureDomain = FailureDomainId("domain-1");
    MetricsRegistry metrics;
    const double before = heapBytes();
    TrafficThread thread(settings, 0, 1, metrics, [](std::string_view) {});
    thread.apply(process->snapshot);
    const double bytes = heapBytes() - before;
    std::printf("traffic thread with %5lu servers: %8.2f MB, %6.0f B for each server\n",
                servers,
                bytes / 1e6,
                bytes / static_cast<double>(servers));
}

} // namespace

int main()
{
    for (const std::uint64_t organisations : {2'000, 4'750, 9'500, 19'000, 38'000}) {
        measure({organisations, 0});
    }
    for (const std::uint64_t servers : {500, 1'000, 2'000, 4'700}) {
        measure({0, servers});
    }
    measure({38'000, 4'700});
    for (const std::uint64_t servers : {336, 1'000, 2'000, 4'700}) {
        measureTrafficThread(servers);
    }
    return 0;
}

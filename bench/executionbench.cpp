// Measures the memory per record and the time per decision of the execution registry. The baseline is an ordered map
// that is scanned for expired records at each decision. Usage: executionbench [decisions per size, default 20000].

#include "execution/execution.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <malloc.h>

namespace
{

using namespace Cardamomhill;

// 1,350 non-idempotent requests/s for 24 h, distributed over 4,700 servers: 24,817 records per agent.
constexpr std::size_t recordsPerAgent = 1'350UL * 86'400UL / 4'700UL;
// The last size is an agent with four times the average load.
constexpr std::size_t sizes[]
    = {recordsPerAgent / 8, recordsPerAgent / 4, recordsPerAgent / 2, recordsPerAgent, recordsPerAgent * 4};
constexpr std::size_t answerSizesBytes[] = {0, 512};
constexpr Milliseconds lifetime = std::chrono::hours(24);
constexpr std::int64_t startMs = 1'700'000'000'000;
constexpr std::size_t scannedDecisions = 200;

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// The arrival time of key `index` when `records` keys arrive evenly in one lifetime.
WallTime arrival(std::size_t index, std::size_t records)
{
    return WallTime(Milliseconds(
        startMs + static_cast<std::int64_t>(index * static_cast<std::size_t>(lifetime.count()) / records)));
}

std::vector<ExecutionRequest> requests(std::size_t count, std::size_t records)
{
    Random random(20261204);
    SlotSet all;
    all.set();
    std::vector<ExecutionRequest> result;
    for (std::size_t index = 0; index < count; ++index) {
        OrganisationId organisation("organisation-" + std::to_string(index % 10));
        const auto key = IdempotencyKey::generate(organisation, all, arrival(index, records), random).value();
        result.push_back({std::move(organisation), key, index});
    }
    return result;
}

/// The baseline: an ordered map that each decision scans for expired records.
class ScannedMap
{
public:
    void decide(const ExecutionRequest &request, WallTime now, const std::string &answer)
    {
        std::erase_if(m_records, [&](const auto &record) { return record.first.second.time() <= now - lifetime; });
        m_records.try_emplace({request.organisation, request.key}, request.digest, answer);
    }

    /// Stores a record without a scan, to fill the map in reasonable time.
    void store(const ExecutionRequest &request, const std::string &answer)
    {
        m_records.try_emplace({request.organisation, request.key}, request.digest, answer);
    }

private:
    std::map<std::pair<OrganisationId, IdempotencyKey>, std::pair<std::uint64_t, std::string>> m_records;
};

struct Measurement {
    double bytesPerRecord;
    double nanosecondsPerDecision;
    double scannedBytesPerRecord;
    double scannedNanosecondsPerDecision;
};

void decideAndComplete(ExecutionRegistry &registry,
                       const ExecutionRequest &request,
                       WallTime now,
                       const std::string &answer)
{
    if (registry.decide(request, now).kind != DecisionKind::Execute
        || registry.complete(request.organisation, request.key, answer).has_error()) {
        std::fprintf(stderr, "a request was not executed\n");
        std::exit(1);
    }
}

/// Runs `decide` for each request from `first` on and returns the mean time in nanoseconds.
template<class Decide>
double meanTime(std::size_t first, std::size_t count, Decide decide)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = first; index < first + count; ++index) {
        decide(index);
    }
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - start;
    return taken.count() / static_cast<double>(count);
}

Measurement measure(std::size_t records, std::size_t answerSize, std::size_t decisions)
{
    const std::vector<ExecutionRequest> all = requests(records + decisions, records);
    const std::string answer(answerSize, 'a');
    Measurement result{};
    {
        const std::size_t before = allocatedBytes();
        ExecutionRegistry registry({records + 16, std::size_t{1} << 30U, 16'384}, ClockBounds{}, lifetime);
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            (void)registry.serveWithoutRecords(static_cast<SlotNumber>(slot), WallTime(Milliseconds(startMs - 10'000)));
        }
        for (std::size_t index = 0; index < records; ++index) {
            decideAndComplete(registry, all[index], arrival(index, records), answer);
        }
        result.bytesPerRecord = static_cast<double>(allocatedBytes() - before) / static_cast<double>(records);
        // At the full size, each decision adds one record and removes an expired one.
        result.nanosecondsPerDecision = meanTime(records, decisions, [&](std::size_t index) {
            decideAndComplete(registry, all[index], arrival(index, records), answer);
        });
    }
    const std::size_t before = allocatedBytes();
    ScannedMap scanned;
    for (std::size_t index = 0; index < records; ++index) {
        scanned.store(all[index], answer);
    }
    result.scannedBytesPerRecord = static_cast<double>(allocatedBytes() - before) / static_cast<double>(records);
    result.scannedNanosecondsPerDecision
        = meanTime(records, std::min(decisions, scannedDecisions), [&](std::size_t index) {
              scanned.decide(all[index], arrival(index, records), answer);
          });
    return result;
}

/// The exponent b in time = a * records^b between the smallest and the largest size: 0 is constant, 1 linear.
double exponent(double small, double large)
{
    const double ratio = static_cast<double>(sizes[std::size(sizes) - 1]) / static_cast<double>(sizes[0]);
    return std::log(large / small) / std::log(ratio);
}

} // namespace

int main(int argc, char **argv)
{
    const std::size_t decisions = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 20'000;
    std::printf("registry and baseline (ordered map, scanned at each decision); a decision includes its completion\n");
    std::printf("%8s %8s %12s %12s %12s %14s %14s %8s\n",
                "answer B",
                "records",
                "B/record",
                "baseline B",
                "total MiB",
                "ns/decision",
                "baseline ns",
                "ratio");
    for (const std::size_t answerSize : answerSizesBytes) {
        std::optional<Measurement> first;
        Measurement last{};
        for (const std::size_t records : sizes) {
            last = measure(records, answerSize, decisions);
            first = first.value_or(last);
            std::printf("%8zu %8zu %12.1f %12.1f %12.2f %14.0f %14.0f %8.0f\n",
                        answerSize,
                        records,
                        last.bytesPerRecord,
                        last.scannedBytesPerRecord,
                        last.bytesPerRecord * static_cast<double>(records) / 1'048'576.0,
                        last.nanosecondsPerDecision,
                        last.scannedNanosecondsPerDecision,
                        last.scannedNanosecondsPerDecision / last.nanosecondsPerDecision);
        }
        std::printf("exponent of time over the number of records: registry %.2f, baseline %.2f\n",
                    exponent(first->nanosecondsPerDecision, last.nanosecondsPerDecision),
                    exponent(first->scannedNanosecondsPerDecision, last.scannedNanosecondsPerDecision));
    }
    return 0;
}

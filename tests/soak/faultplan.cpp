#include "soak/faultplan.h"

#include "core/random.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Mean time between faults, drawn for each plan: from a storm to single faults with calm between them.
constexpr Milliseconds ShortestGap{200};
constexpr Milliseconds LongestGap{2000};
/// Kinds of faults in one plan. Few kinds meet in more ways than all of them at once.
constexpr std::size_t FewestKinds = 2;
constexpr std::size_t MostKinds = 8;
constexpr Milliseconds ShortestFault{100};
constexpr Milliseconds LongestFault{3500};
/// Part of the faults that begin together with the one before.
constexpr double TogetherPart = 0.25;
/// Part that hits the same target with the same kind as the one before.
constexpr double RepeatedPart = 0.2;

Milliseconds between(Milliseconds low, Milliseconds high, Random &random)
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(low.count(), high.count())(random));
}

} // namespace

std::vector<Fault> planFaults(std::uint64_t seed, Milliseconds length)
{
    Random random(seed);
    std::uniform_real_distribution<double> part(0, 1);
    const auto all = nameTable(FaultKind{});
    std::vector<NamedValue<FaultKind>> kinds(all.begin(), all.end());
    std::shuffle(kinds.begin(), kinds.end(), random);
    kinds.resize(std::uniform_int_distribution<std::size_t>(FewestKinds, MostKinds)(random));
    const auto meanGap = between(ShortestGap, LongestGap, random);
    std::vector<Fault> faults;
    Fault fault;
    while (true) {
        if (faults.empty() || part(random) >= TogetherPart) {
            fault.at += between(Milliseconds(0), 2 * meanGap, random);
        }
        if (fault.at >= length) {
            return faults;
        }
        if (faults.empty() || part(random) >= RepeatedPart) {
            fault.kind = kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(random)].value;
            fault.target = std::uniform_int_distribution<std::size_t>(0, 1000)(random);
        }
        fault.duration = between(ShortestFault, LongestFault, random);
        faults.push_back(fault);
    }
}

} // namespace Cardamomhill

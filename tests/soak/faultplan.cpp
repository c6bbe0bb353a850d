#include "soak/faultplan.h"

#include "core/random.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// Range of the mean time between faults, which is drawn once per plan: plans range from a rapid sequence of faults
/// to single faults with stable periods between them.
constexpr Milliseconds MinMeanGap{200};
constexpr Milliseconds MaxMeanGap{2000};
/// Number of fault kinds in one plan. A plan with few kinds tries more of their combinations than one with all kinds.
constexpr std::size_t MinKinds = 2;
constexpr std::size_t MaxKinds = 8;
constexpr Milliseconds MinFaultDuration{100};
constexpr Milliseconds MaxFaultDuration{3500};
/// Fraction of the faults that start together with the previous one.
constexpr double SimultaneousFraction = 0.25;
/// Fraction of the faults with the same kind and target as the previous one.
constexpr double RepeatedFraction = 0.2;

Milliseconds randomDuration(Milliseconds low, Milliseconds high, Random &random)
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(low.count(), high.count())(random));
}

} // namespace

std::vector<Fault> planFaults(std::uint64_t seed, Milliseconds duration)
{
    Random random(seed);
    std::uniform_real_distribution<double> fraction(0, 1);
    const auto all = nameTable(FaultKind{});
    std::vector<NamedValue<FaultKind>> kinds(all.begin(), all.end());
    std::shuffle(kinds.begin(), kinds.end(), random);
    kinds.resize(std::uniform_int_distribution<std::size_t>(MinKinds, MaxKinds)(random));
    const auto meanGap = randomDuration(MinMeanGap, MaxMeanGap, random);
    std::vector<Fault> faults;
    Fault fault;
    while (true) {
        if (faults.empty() || fraction(random) >= SimultaneousFraction) {
            fault.startOffset += randomDuration(Milliseconds(0), 2 * meanGap, random);
        }
        if (fault.startOffset >= duration) {
            return faults;
        }
        if (faults.empty() || fraction(random) >= RepeatedFraction) {
            fault.kind = kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(random)].value;
            fault.target = std::uniform_int_distribution<std::size_t>(0, 1000)(random);
        }
        fault.duration = randomDuration(MinFaultDuration, MaxFaultDuration, random);
        faults.push_back(fault);
    }
}

} // namespace Cardamomhill

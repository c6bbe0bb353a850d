#include "soak/servedshare.h"

namespace Cardamomhill
{

namespace
{

/// The floor for every kind and organisation, as a fraction of the mean.
constexpr double MinFraction = 0.25;
/// The share of fewer requests than this says nothing.
constexpr std::size_t MinRequests = 20;

double shareOf(std::size_t served, std::size_t requests)
{
    return static_cast<double>(served) / static_cast<double>(requests);
}

} // namespace

void ServedShare::add(const std::vector<std::string> &classes, bool isServed)
{
    const auto count = [isServed](Count &entry) {
        ++entry.requests;
        entry.served += isServed ? 1 : 0;
    };
    count(m_all);
    for (const auto &name : classes) {
        count(m_classes[name]);
    }
}

std::vector<std::string> ServedShare::violations() const
{
    std::vector<std::string> all;
    for (const auto &[name, count] : m_classes) {
        const bool isLow = count.requests >= MinRequests
            && shareOf(count.served, count.requests) < MinFraction * shareOf(m_all.served, m_all.requests);
        if (isLow) {
            all.push_back(name + " had " + std::to_string(count.served) + " of " + std::to_string(count.requests)
                          + " requests served, all had " + std::to_string(m_all.served) + " of "
                          + std::to_string(m_all.requests));
        }
    }
    return all;
}

std::size_t ServedShare::requestCount() const
{
    return m_all.requests;
}

std::size_t ServedShare::servedCount() const
{
    return m_all.served;
}

} // namespace Cardamomhill

#include "soak/coldarrivals.h"

namespace Cardamomhill
{

ColdArrivals::ColdArrivals(std::size_t limit)
    : m_limit(limit)
{
}

void ColdArrivals::setCold(const std::string &instance, SteadyTime until)
{
    m_instances[instance].coldUntil = until;
}

bool ColdArrivals::isCold(const std::string &instance, SteadyTime now) const
{
    const auto found = m_instances.find(instance);
    return found != m_instances.end() && now < found->second.coldUntil;
}

bool ColdArrivals::recordRun(const std::string &instance, SteadyTime now)
{
    if (!isCold(instance, now)) {
        return true;
    }
    auto &runs = m_instances[instance].runs;
    runs.push_back(now);
    while (runs.front() < now - Seconds(1)) {
        runs.pop_front();
    }
    return runs.size() <= m_limit;
}

void ColdArrivals::forget(const std::string &instance)
{
    m_instances[instance].runs.clear();
}

void ColdArrivals::forgetAll()
{
    for (auto &[id, instance] : m_instances) {
        instance.runs.clear();
    }
}

} // namespace Cardamomhill

#include "gateway/evacuationfollower.h"

#include "gateway/gatewaysettings.h"
#include "gateway/storecodec.h"
#include "metrics/metricsregistry.h"
#include "net/steadynow.h"

#include <algorithm>
#include <set>

namespace Cardamomhill
{

namespace
{

/// Largest value of the shortest time between two calls to the store, each of which is charged. A change after a quiet
/// time is received at once.
constexpr Milliseconds MaxCallInterval{400};
/// Leaves most of the limit for a watch that is lost, which is noticed after up to four seconds.
constexpr int CallIntervalsPerLimit = 10;

Milliseconds callIntervalFor(const GatewaySettings &settings)
{
    const auto limit = settings.evacuationLimit.value_or(MaxCallInterval * CallIntervalsPerLimit);
    return std::min(MaxCallInterval, limit / CallIntervalsPerLimit);
}

} // namespace

EvacuationFollower::EvacuationFollower(asio::io_context &context,
                                       const GatewaySettings &settings,
                                       const StoreCodec &codec,
                                       MetricsRegistry &metrics,
                                       ObjectFollower::Dependencies dependencies,
                                       Observer observer)
    : m_metrics(metrics)
    , m_observer(std::move(observer))
    , m_follower(context,
                 settings.platform,
                 codec.objectApi(),
                 codec.evacuationKind(),
                 callIntervalFor(settings),
                 settings.host.value(),
                 dependencies,
                 {[this](const ObjectPage &page) { replaceAll(page); },
                  [this](const ObjectPage &page) { update(page); },
                  [this](bool hasContact) { setContact(hasContact); }})
{
}

void EvacuationFollower::start()
{
    m_follower.start();
}

void EvacuationFollower::setFailureDomainHosts(const std::vector<RelayHost> &hosts)
{
    m_follower.setFailureDomainHosts(hosts);
}

bool EvacuationFollower::isListed() const
{
    return m_evacuations.isListed();
}

void EvacuationFollower::replaceAll(const ObjectPage &page)
{
    std::set<FailureDomainId> domains;
    for (const auto &object : page.objects) {
        domains.insert(FailureDomainId(object.key.name));
    }
    m_evacuations.replaceAll(domains, steadyNow());
    m_metrics.counter("objects_unreadable_total").add(page.unreadableCount);
    publish();
}

void EvacuationFollower::update(const ObjectPage &page)
{
    for (const auto &object : page.objects) {
        m_evacuations.begin(FailureDomainId(object.key.name));
    }
    for (const auto &name : page.removed) {
        m_evacuations.end(FailureDomainId(name), steadyNow());
    }
    m_metrics.counter("objects_unreadable_total").add(page.unreadableCount);
    publish();
}

void EvacuationFollower::setContact(bool hasContact)
{
    hasContact ? m_evacuations.onStoreAvailable() : m_evacuations.onStoreUnavailable();
    m_metrics.gauge("evacuations_current").set(m_evacuations.isCurrent() ? 1 : 0);
}

void EvacuationFollower::publish()
{
    m_metrics.gauge("evacuations_current").set(m_evacuations.isCurrent() ? 1 : 0);
    if (const auto change = m_evacuations.takeChange()) {
        m_observer(*change);
    }
}

} // namespace Cardamomhill

#pragma once

#include "control/objectfollower.h"
#include "net/asio.h"
#include "traffic/evacuations.h"

#include <functional>
#include <vector>

namespace Cardamomhill
{

class MetricsRegistry;
class StoreCodec;
struct GatewaySettings;

/// Follows the evacuations of failure domains in the platform's store.
class EvacuationFollower
{
public:
    /// Notified of the first list, and whenever the evacuated domains change.
    using Observer = std::function<void(const EvacuatedDomains &)>;

    /// @param settings must state the evacuation limit
    EvacuationFollower(asio::io_context &context,
                       const GatewaySettings &settings,
                       const StoreCodec &codec,
                       MetricsRegistry &metrics,
                       ObjectFollower::Dependencies dependencies,
                       Observer observer);

    void start();
    void setFailureDomainHosts(const std::vector<RelayHost> &hosts);

    /// Whether the evacuated domains are known.
    bool isListed() const;

private:
    /// The name of an object is that of its domain. Its value means nothing, so a domain is evacuated whatever it is.
    void replaceAll(const ObjectPage &page);
    void update(const ObjectPage &page);
    void setContact(bool hasContact);
    void publish();

    MetricsRegistry &m_metrics;
    Observer m_observer;
    Evacuations m_evacuations;
    ObjectFollower m_follower;
};

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "objectstore/sourcechoice.h"
#include "objectstore/storerole.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Settings of StoreSource.
struct StoreSourceOptions {
    /// Relays per failure domain, which call the store themselves. With two, one of them may fail at any time.
    std::size_t relayCount = 2;
    /// In failure domains with fewer hosts every host calls the store, since relays would save few calls.
    std::size_t minDomainHosts = 8;
    /// How long a relay whose call failed is not called again.
    Milliseconds failedRelayDelay{3000};
    /// How long the store is called instead of the relays after it answered while they had no contact with it, or after
    /// a host declined a call because it does not regard itself as a relay.
    Milliseconds directDuration{3000};
    /// Interval of calls to relays without contact with the store, since they are the first to detect its return.
    Milliseconds relayRetryInterval{200};
    /// Delay from the first answer of a relay without contact to the first call to the store, which may be refusing
    /// calls of the relays only.
    Milliseconds storeCallDelay{600};
    /// Within this time after the store answered while the relays had no contact, it is called without that delay.
    Milliseconds recentAnswerWindow{10'000};
    /// Interval of later calls to the store while the relays have no contact. The store may answer this host again long
    /// before it answers the relays.
    Milliseconds storeRetryInterval{1900};
};

/// Decides whether one host of a large fleet gets the changes in the platform's store from a relay or from the store
/// itself. Every call to the store is charged and counts towards its rate limit, so in each large failure domain two
/// hosts (the relays) call it and pass the changes on; the others fall back on the store when neither relay is usable.
class StoreSource
{
public:
    explicit StoreSource(std::string host, StoreSourceOptions options = {});

    /// Sets the live hosts of this host's failure domain, without this host. The relays are derived from them, so all
    /// hosts of a failure domain should have the same list; if they differ, a host that is called as a relay but does
    /// not regard itself as one declines the call.
    void setHosts(std::vector<RelayHost> hosts);

    /// The role of this host. It depends on the hosts of the failure domain only, not on the state of the relays.
    StoreRole role() const;

    /// The step to take now.
    SourceChoice nextStep(SteadyTime now);

    /// Whether some relay had contact with the store when last called, or the store itself answered recently.
    bool hasContact(SteadyTime now) const;

    /// Report the result of a call to a relay.
    void relayAnswered(const std::string &host);
    void relayHasNoContact(const std::string &host, SteadyTime now);
    void relayDeclined(SteadyTime now);
    void relayFailed(const std::string &host, SteadyTime now);

    /// Report the result of a call to the store.
    void storeAnswered(SteadyTime now);
    void storeFailed(SteadyTime now);

private:
    bool storeAnsweredRecently(SteadyTime now) const;
    std::optional<RelayHost> selectRelay(SteadyTime now) const;

    std::string m_host;
    StoreSourceOptions m_options;
    StoreRole m_role = StoreRole::Direct;
    std::vector<RelayHost> m_relays;
    /// Index of the relay to call first. It depends on the host's name, so that about half of the hosts call each
    /// relay.
    std::size_t m_firstRelay;
    std::map<std::string, SteadyTime> m_failedUntil;
    SteadyTime m_directUntil{};
    SteadyTime m_recentAnswerUntil{};
    /// Consecutive answers of relays that have no contact with the store.
    std::size_t m_answersWithoutContact = 0;
    SteadyTime m_nextRelayCallAt{};
    SteadyTime m_nextStoreCallAt{};
};

} // namespace Cardamomhill

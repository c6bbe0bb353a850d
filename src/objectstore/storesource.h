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

/// Constants of StoreSource.
struct StoreSourceOptions {
    /// Hosts of a failure domain that follow the store themselves. With two, one of them may fail at any time.
    std::size_t relays = 2;
    /// In smaller failure domains every host follows the store: relays would save little.
    std::size_t smallestDomain = 8;
    /// A relay that does not answer is not asked again for this time.
    Milliseconds unfitTime{3000};
    /// How long the store is called instead of relays that have no contact with it or do not know that they are relays.
    Milliseconds directTime{3000};
    /// Relays that have lost the store notice its return first and are asked at this interval.
    Milliseconds relayInterval{200};
    /// When the store is called for the first time after both relays lost it. The store may turn away only them.
    Milliseconds patience{600};
    /// The store is called without patience for this time after it was of help.
    Milliseconds trustTime{10'000};
    /// Between later calls to the store while the relays have no contact. The store may answer this host again long
    /// before it answers them.
    Milliseconds storeInterval{1900};
};

/// From where one host of a large fleet learns of changes in the platform's store. Every call to the store is charged
/// and counts towards its rate, so two hosts of each failure domain follow it and tell the others, who fall back on the
/// store itself when neither relay helps.
class StoreSource
{
public:
    explicit StoreSource(std::string host, StoreSourceOptions options = {});

    /// The live hosts of the own failure domain without the own host. All hosts of a failure domain should agree on
    /// them, and those that do not are told so by the relay that they ask.
    void setHosts(std::vector<RelayHost> hosts);

    /// By the hosts of the failure domain, whatever the state of its relays.
    StoreRole role() const;

    SourceChoice next(SteadyTime now);

    /// Whether some relay had contact with the store when it was asked last, or the store itself had lately.
    bool hasContact(SteadyTime now) const;

    void relayAnswered(const std::string &host);
    void relayHasNoContact(const std::string &host, SteadyTime now);
    void relayDeclined(SteadyTime now);
    void relayFailed(const std::string &host, SteadyTime now);

    /// The store was called while the relays have no contact with it.
    void storeAnswered(SteadyTime now);
    void storeFailed(SteadyTime now);

private:
    bool trustsStore(SteadyTime now) const;
    std::optional<RelayHost> preferredRelay(SteadyTime now) const;

    std::string m_host;
    StoreSourceOptions m_options;
    StoreRole m_role = StoreRole::Direct;
    std::vector<RelayHost> m_relays;
    /// Which relay is asked first, so that half of the hosts ask each.
    std::size_t m_turn;
    std::map<std::string, SteadyTime> m_unfitUntil;
    SteadyTime m_directUntil{};
    SteadyTime m_trustUntil{};
    /// Answers of relays without contact since the last with it.
    std::size_t m_withoutContact = 0;
    SteadyTime m_askRelayAt{};
    SteadyTime m_callStoreAt{};
};

} // namespace Cardamomhill

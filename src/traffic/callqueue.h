#pragma once

#include "traffic/waitingcall.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace Cardamomhill
{

/// The calls to a service that wait at this host, and the order in which they are sent.
///
/// Answers demand over capacity: the most urgent calls go first; of equally urgent ones those that can still be in
/// time, then those that are late but servable. Among these the organisation goes first of which this host has sent the
/// fewest calls lately, so that one with many calls does not delay those with few; of one organisation the earliest
/// goes first. A call that can no longer be in time is refused, so that its caller returns when there is room, unless
/// the caller has returned already.
class CallQueue
{
public:
    using Ticket = std::uint64_t;

    Ticket add(const WaitingCall &call);
    void remove(Ticket ticket);

    /// Whether no other call is to be sent before this one.
    bool isNext(Ticket ticket, SteadyTime now) const;

    /// Records that a call was sent, from which the rate is known at which calls leave the queue.
    void recordSent(SteadyTime now, WaitingCall::OrganisationKey organisation = 0);

    /// Whether the calls before this one are likely to be sent in the time that it may wait.
    bool canBeServed(Ticket ticket, SteadyTime now) const;

    /// Until when the call may wait.
    static SteadyTime waitLimit(const WaitingCall &call);

    std::size_t size() const;

private:
    /// What decides which of two calls goes first; the smallest does.
    struct Order {
        Urgency urgency;
        bool isLate = false;
        std::uint32_t sentOfOrganisation = 0;
        SteadyTime deadline{};
        Ticket ticket = 0;

        auto operator<=>(const Order &) const = default;
    };
    struct SentCall {
        SteadyTime sentAt{};
        WaitingCall::OrganisationKey organisation = 0;
    };

    Order orderOf(const WaitingCall &call, Ticket ticket, SteadyTime now) const;
    std::size_t callsBefore(Ticket ticket, SteadyTime now) const;

    std::map<Ticket, WaitingCall> m_calls;
    /// The latest calls that were sent, a ring.
    static constexpr std::size_t MaxSent = 32;
    std::array<SentCall, MaxSent> m_sent{};
    std::size_t m_sentCount = 0;
    /// How many of them are of each organisation.
    std::unordered_map<WaitingCall::OrganisationKey, std::uint32_t> m_sentOf;
    Ticket m_lastTicket = 0;
};

} // namespace Cardamomhill

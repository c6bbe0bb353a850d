#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// Why a server was chosen, or why none was. Of the reasons why none was, a later one is nearer to a choice: it is
/// reported if it holds for any server.
enum class ChoiceReason : std::uint8_t {
    LeastLoaded,
    /// The first event is expected sooner than from a less loaded server, since part of the prompt is held there.
    HoldsPrompt,
    /// Chosen by expected response times, although another server is less loaded: that one is farther away or slower,
    /// or only a part of the calls moves there.
    SoonestResponse,
    /// This server and all others that could take the call failed recently or are slow.
    LastResort,
    /// The service has no servers, or all of them are shutting down.
    NoServer,
    /// Earlier attempts of the call have tried all servers.
    AllTried,
    /// The servers that were not tried are in evacuated failure domains.
    Evacuated,
    /// The servers that were not tried and are in no evacuated failure domain are unreachable, or in groups that take
    /// no calls while they are formed again.
    GroupsClosed,
    /// The service has stopped as a whole: no server has sent an event to this host for some time, while calls to it
    /// failed.
    ServiceStopped,
    /// All servers that could take the call have stated that they want no calls for a while.
    AllHeld,
    /// All servers that could take the call are cold, and this host may not send calls to them now.
    AllCold,
    /// No server has room: the slots and the allowed queues of the available ones are in use.
    AllFull,
};

constexpr auto nameTable(ChoiceReason)
{
    return std::to_array<NamedValue<ChoiceReason>>({
        {ChoiceReason::LeastLoaded, "least-loaded"},
        {ChoiceReason::HoldsPrompt, "holds-prompt"},
        {ChoiceReason::SoonestResponse, "soonest-response"},
        {ChoiceReason::LastResort, "last-resort"},
        {ChoiceReason::NoServer, "no-server"},
        {ChoiceReason::AllTried, "all-tried"},
        {ChoiceReason::Evacuated, "evacuated"},
        {ChoiceReason::GroupsClosed, "groups-closed"},
        {ChoiceReason::ServiceStopped, "service-stopped"},
        {ChoiceReason::AllHeld, "all-held"},
        {ChoiceReason::AllCold, "all-cold"},
        {ChoiceReason::AllFull, "all-full"},
    });
}

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "traffic/serverchoice.h"
#include "traffic/waitingcall.h"

namespace Cardamomhill
{

class GatewayThread;
class ServiceOutage;
struct CallState;

/// Chooses the server of an attempt. A stream waits while its group is being formed or makes slow steps, while its
/// service has stopped, and for room where the routes of its service differ in urgency or its caller has come back
/// after a refusal.
class ServerSelection
{
public:
    ServerSelection(GatewayThread &thread, const CallState &state);

    /// Ends early if the caller has gone or the process ends.
    Task<ServerChoice> choose();

private:
    class QueuePlace;

    /// Whether the call waits in the queue of the service if no server can take it.
    bool isQueued(SteadyTime now) const;
    /// Waits in the queue of the service.
    Task<ServerChoice> chooseInOrder();
    /// Chooses a server if no other call of the queue goes first and the call is admitted.
    /// @param isLastChance whether the call is refused if it is not sent now
    ServerChoice chooseInTurn(const QueuePlace &place, bool isLastChance, SteadyTime now);
    ServerChoice chooseNow(SteadyTime now);
    /// Chooses no server of a service that has stopped, but for a call now and then that finds out whether it works.
    ServerChoice probe(bool isLastChance, SteadyTime now);
    ServiceOutage &outage() const;
    /// Whether the service has stopped for calls that were not sent yet, and no group of it is being formed.
    bool isStopped(SteadyTime now) const;
    /// Whether a server may take the call while it waits, although none can now.
    /// @param wholeWait how long the call may wait from its arrival
    bool mayGetRoom(const ServerChoice &choice, Microseconds wholeWait, SteadyTime now) const;
    bool shouldWait(const ServerChoice &choice, SteadyTime now) const;
    /// Whether a stream may be sent to the chosen server now, by the steps and the room of its group.
    bool isAdmitted(const ServerChoice &choice, SteadyTime now);
    WaitingCall waitingCall() const;

    GatewayThread &m_thread;
    const CallState &m_state;
};

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "membership/nodeaddress.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill::internal
{

/// The start of a process without a configuration: it asks all entry hosts of its failure domain and serves only when
/// it has what each host that answers holds. It may have had a change in force that only one of them has received.
class JoinProgress
{
public:
    /// Adds a host to ask.
    void expect(const NodeAddress &host);

    /// The host answered; whether it has a configuration in force. Answers of an earlier process there are ignored.
    void answered(const NodeAddress &host, std::uint64_t incarnation, bool isReady, bool isEqual, SteadyTime now);

    /// All that the host held was received; whether it had a configuration in force then.
    void received(const NodeAddress &host, bool isReady);

    /// The hosts to ask now: those that did not answer, or whose objects have not arrived, each every 400 ms.
    std::vector<NodeAddress> hostsToAsk(SteadyTime now);

    /// Whether each host that answers has been copied, and at least one of them had a configuration in force.
    bool isComplete(SteadyTime now) const;

    /// Whether the time for answers is over and no host has a configuration in force, so that only the platform is
    /// left.
    bool needsPlatform(SteadyTime now) const;

    void shiftTimes(Microseconds pause);

private:
    enum class Progress : std::uint8_t { Silent, Answered, Received };
    struct Host {
        Progress progress = Progress::Silent;
        std::uint64_t incarnation = 0;
        bool isReady = false;
        SteadyTime asked;
        SteadyTime lastAnswer;
    };

    bool isOver(SteadyTime now) const;
    bool isSettled(const Host &host, SteadyTime now) const;
    bool anyReady() const;

    std::map<NodeAddress, Host> m_hosts;
    bool m_hasStarted = false;
    SteadyTime m_start;
};

} // namespace Cardamomhill::internal

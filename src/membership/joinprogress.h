#pragma once

#include "core/clocktypes.h"
#include "membership/controladdress.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Cardamomhill::internal
{

/// Tracks how a process that starts without a configuration obtains one.
///
/// The process asks all entry hosts of its failure domain and serves only after it has copied the objects of each host
/// that answers: before a restart, it may have had a change in force that only one of them has received.
class JoinProgress
{
public:
    /// Adds a host to ask.
    void addHost(const ControlAddress &host);

    /// Records an answer: whether the host has a configuration in force, and whether its digest equals that of this
    /// process. Answers of an earlier incarnation are ignored.
    void onAnswer(const ControlAddress &host, std::uint64_t incarnation, bool isReady, bool isEqual, SteadyTime now);

    /// Records that all objects of the host were received, and whether it had a configuration in force then.
    void onObjects(const ControlAddress &host, bool isReady);

    /// The hosts to ask now: those that have not answered or whose objects have not arrived, each every 400 ms.
    std::vector<ControlAddress> hostsToAsk(SteadyTime now);

    /// Whether the objects of each host that answers were copied, and at least one host had a configuration in force.
    bool isComplete(SteadyTime now) const;

    /// Whether the answer timeout has passed and no host has a configuration in force, so that only the platform can
    /// provide one.
    bool needsPlatform(SteadyTime now) const;

    void shiftTimes(Microseconds pause);

private:
    enum class Progress : std::uint8_t { Unanswered, Answered, Received };
    struct Host {
        Progress progress = Progress::Unanswered;
        std::uint64_t incarnation = 0;
        bool isReady = false;
        SteadyTime lastAsked;
        SteadyTime lastAnswer;
    };

    bool hasTimedOut(SteadyTime now) const;
    bool isFinished(const Host &host, SteadyTime now) const;
    bool anyReady() const;

    std::map<ControlAddress, Host> m_hosts;
    bool m_hasStarted = false;
    SteadyTime m_start;
};

} // namespace Cardamomhill::internal

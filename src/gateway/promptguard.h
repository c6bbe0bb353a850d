#pragma once

#include "core/random.h"
#include "net/asio.h"
#include "traffic/crashsuspects.h"
#include "traffic/promptblame.h"
#include "traffic/promptnotice.h"
#include "traffic/promptnoticequeue.h"
#include "traffic/recentparts.h"
#include "traffic/serverprocess.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

class MetricsRegistry;
struct CallHead;

/// Keeps prompts that crash backend servers away from them, together with the other entry hosts: finds out which broken
/// connections were crashes, exchanges what each host saw, and names the parts of prompts whose calls are refused.
class PromptGuard
{
public:
    struct Observers {
        /// A notice for the other entry hosts.
        std::function<void(const PromptNotice &)> onNotice;
        /// A part of prompts is blocked from now on.
        std::function<void()> onBlocked;
        /// This host is to store all parts that are blocked, since it has reported crashes under one that is new.
        std::function<void(const std::vector<BlockedPart> &)> onStorable;
    };

    PromptGuard(
        asio::io_context &context, std::string host, MetricsRegistry &metrics, std::uint64_t seed, Observers observers);

    /// A blocked part of a call's prompt, if it has one.
    std::optional<std::string> blockedPartOf(const CallHead &call) const;

    /// Records that a call was refused for a part of its prompt. Returns how long such calls will be refused.
    Milliseconds recordRefusal(const std::string &part);

    /// Records that the answer to a call has gone on after its beginning.
    void recordSound(const CallHead &call);

    /// Whether a server has crashed under a part of a call's prompt, and no answer has gone on under it since.
    bool isSuspected(const CallHead &call) const;

    /// Whether recordSound() makes a difference for an answer that has gone on before.
    bool hasSuspects() const;

    /// Records that the connection to a server broke before its answer to a call went on.
    void recordBreak(const ServerProcess &process, const CallHead &call);

    void processNotice(const PromptNotice &notice);

    /// Blocks the parts that another host, or an earlier process, has blocked.
    /// @param source where that is known from
    void addBlockedParts(const std::vector<BlockedPart> &parts, std::string_view source);

    /// Decides, and sends what the other hosts need to know. To be called periodically.
    /// @param hostCount number of entry hosts, which share the repetition of what all know
    void tick(std::size_t hostCount);

private:
    struct Break {
        ServerProcess process;
        CrashSuspects suspects;
    };

    /// Reports a crash if the server accepts no connection any more.
    Task<> checkCrash(std::uint64_t key);
    void recordCrash(const CrashReport &report);
    void decide();
    void storeIfReported(const std::string &part);
    /// Stores that a part is blocked no more, if this host has stored that it is.
    void removeStored(const std::string &part);
    /// Adds the parts that were found sound to the next notice, at a random time, since many hosts find the same ones.
    void addSoundParts(std::size_t hostCount);
    bool isAnnouncementDue(std::size_t hostCount);
    /// Chooses this host at random so that of all hosts this many are chosen.
    bool isChosen(double chosenHosts, std::size_t hostCount);

    asio::io_context &m_context;
    std::string m_host;
    MetricsRegistry &m_metrics;
    Random m_random;
    Observers m_observers;
    PromptBlame m_blame;
    /// Processes whose connections broke and that are being checked.
    std::unordered_map<std::uint64_t, Break> m_breaks;
    PromptNoticeQueue m_unsent;
    /// Parts in this host's latest reports of crashes.
    RecentParts m_reportedParts;
    /// Parts that this host has stored as blocked.
    std::set<std::string> m_storedParts;
    /// Suspected or blocked parts under which an answer went on, until this host or another one has said so.
    std::set<std::string> m_soundParts;
    double m_soundNotices = 0;
    SteadyTime m_nextAnnouncementAt{};
};

} // namespace Cardamomhill

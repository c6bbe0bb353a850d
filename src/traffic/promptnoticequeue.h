#pragma once

#include "traffic/promptnotice.h"

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// What a host has to tell the others about prompts, divided into notices that fit into a datagram. What does not fit
/// into one notice follows in the next.
class PromptNoticeQueue
{
public:
    /// Upper bound of the encoded size of a notice, without the name of the host.
    static constexpr std::size_t MaxNoticeBytes = 12 * 1024;

    /// @param host the sender, which each notice names
    explicit PromptNoticeQueue(std::string host);

    /// Adds a report. Its first suspects are sent first.
    void addCrash(CrashReport report);
    void addSound(const std::string &part);
    /// Replaces the blocked parts that were not sent yet.
    void setBlocked(std::vector<BlockedPart> parts);
    bool hasBlocked() const;

    bool isEmpty() const;

    /// Takes as much as fits into one notice: blocked parts first, which end crashes, then sound parts, which end
    /// refusals, then crashes in the order in which they were added.
    PromptNotice next();

private:
    /// Moves suspects of the first report into the notice. Returns whether that was all of them.
    bool takeSuspects(PromptNotice &notice, std::size_t &bytesLeft);

    std::string m_host;
    std::deque<CrashReport> m_crashes;
    std::set<std::string> m_sound;
    std::vector<BlockedPart> m_blocked;
};

} // namespace Cardamomhill

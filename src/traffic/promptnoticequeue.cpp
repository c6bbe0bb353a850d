#include "traffic/promptnoticequeue.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

namespace
{

/// Reports that wait at most. Only hosts that lose servers faster than they can tell each other exceed it.
constexpr std::size_t MaxCrashes = 64;
/// Upper bounds of what MessagePack needs for a string beside its characters, for a number, and for an array.
constexpr std::size_t StringBytes = 5;
constexpr std::size_t NumberBytes = 9;
constexpr std::size_t ArrayBytes = 5;

std::size_t encodedBytes(const std::string &part)
{
    return part.size() + StringBytes;
}

std::size_t encodedBytes(const BlockedPart &part)
{
    return encodedBytes(part.part) + NumberBytes + ArrayBytes;
}

std::size_t encodedBytes(const PromptSuspect &suspect)
{
    return encodedBytes(suspect.part) + NumberBytes + ArrayBytes + 1;
}

/// Reduces the bytes that are left by those of an element. Returns whether it fits.
template<class Element>
bool reserve(const Element &element, std::size_t &bytesLeft)
{
    const auto bytes = encodedBytes(element);
    if (bytes > bytesLeft) {
        return false;
    }
    bytesLeft -= bytes;
    return true;
}

} // namespace

PromptNoticeQueue::PromptNoticeQueue(std::string host)
    : m_host(std::move(host))
{
}

void PromptNoticeQueue::addCrash(CrashReport report)
{
    if (m_crashes.size() == MaxCrashes) {
        m_crashes.pop_front();
    }
    m_crashes.push_back(std::move(report));
}

void PromptNoticeQueue::addSound(const std::string &part)
{
    m_sound.insert(part);
}

void PromptNoticeQueue::setBlocked(std::vector<BlockedPart> parts)
{
    m_blocked = std::move(parts);
}

bool PromptNoticeQueue::hasBlocked() const
{
    return !m_blocked.empty();
}

bool PromptNoticeQueue::isEmpty() const
{
    return m_crashes.empty() && m_sound.empty() && m_blocked.empty();
}

PromptNotice PromptNoticeQueue::next()
{
    PromptNotice notice;
    notice.host = m_host;
    // The format, and the array of the notice and those of its three lists.
    auto bytesLeft = MaxNoticeBytes - NumberBytes - 4 * ArrayBytes;
    while (!m_blocked.empty() && reserve(m_blocked.back(), bytesLeft)) {
        notice.blocked.push_back(std::move(m_blocked.back()));
        m_blocked.pop_back();
    }
    while (!m_sound.empty() && reserve(*m_sound.begin(), bytesLeft)) {
        notice.sound.push_back(std::move(m_sound.extract(m_sound.begin()).value()));
    }
    while (!m_crashes.empty() && takeSuspects(notice, bytesLeft)) {
        m_crashes.pop_front();
    }
    return notice;
}

bool PromptNoticeQueue::takeSuspects(PromptNotice &notice, std::size_t &bytesLeft)
{
    constexpr std::size_t ReportBytes = NumberBytes + 2 * ArrayBytes;
    if (bytesLeft < ReportBytes) {
        return false;
    }
    bytesLeft -= ReportBytes;
    auto &suspects = m_crashes.front().suspects;
    const auto end = std::find_if_not(
        suspects.begin(), suspects.end(), [&](const PromptSuspect &suspect) { return reserve(suspect, bytesLeft); });
    if (end == suspects.begin() && !suspects.empty()) {
        return false;
    }
    CrashReport part{m_crashes.front().process, {}};
    std::move(suspects.begin(), end, std::back_inserter(part.suspects));
    suspects.erase(suspects.begin(), end);
    notice.crashes.push_back(std::move(part));
    return suspects.empty();
}

} // namespace Cardamomhill

#include "gateway/promptguard.h"

#include "core/hash.h"
#include "core/joinwithcommas.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"
#include "net/address.h"
#include "net/httpclientconnection.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "traffic/callhead.h"

#include <algorithm>
#include <random>
#include <span>
#include <utility>

namespace Cardamomhill
{

namespace
{

/// A host that is up accepts or refuses a connection in milliseconds.
constexpr Milliseconds ConnectTimeout{400};
/// Of older reports, other hosts store the block.
constexpr std::size_t MaxReportedParts = 4 * CrashSuspects::DefaultMaxSuspects;
/// Suspects that the log names of each crash.
constexpr std::size_t MaxLoggedSuspects = 50;
/// How often all hosts together announce the blocked parts, for hosts that have just started.
constexpr Milliseconds AnnouncementInterval{1000};
constexpr double AnnouncementsPerInterval = 4;
/// How many of the hosts that know a part as sound say so in the first tick, and by how much that number grows with
/// each tick in which this host has not heard it from another one.
constexpr double FirstSoundNotices = 4;
constexpr double SoundNoticeGrowth = 3;

std::uint64_t keyOf(const ServerProcess &process)
{
    return combineHashes(hash64(process.id.value()), hash64(process.address, process.startedAt));
}

} // namespace

PromptGuard::PromptGuard(
    asio::io_context &context, std::string host, MetricsRegistry &metrics, std::uint64_t seed, Observers observers)
    : m_context(context)
    , m_host(std::move(host))
    , m_metrics(metrics)
    , m_random(seed)
    , m_observers(std::move(observers))
    , m_unsent(m_host)
    , m_reportedParts(MaxReportedParts)
{
}

std::optional<std::string> PromptGuard::blockedPartOf(const CallHead &call) const
{
    if (!m_blame.hasSuspects()) {
        return std::nullopt;
    }
    const auto now = steadyNow();
    for (const auto id : call.sharedPromptPartIds) {
        std::string part(id);
        if (m_blame.isBlocked(part, now)) {
            return part;
        }
    }
    return std::nullopt;
}

Milliseconds PromptGuard::recordRefusal(const std::string &part)
{
    m_metrics.counter("calls_prompt_blocked_total").add();
    return m_blame.recordRefusal(part, steadyNow());
}

void PromptGuard::recordSound(const CallHead &call)
{
    const auto now = steadyNow();
    for (const auto id : call.sharedPromptPartIds) {
        const std::string part(id);
        if (m_blame.recordSound(part, now)) {
            m_soundParts.insert(part);
            removeStored(part);
        }
    }
}

bool PromptGuard::isSuspected(const CallHead &call) const
{
    if (!m_blame.hasSuspects()) {
        return false;
    }
    for (const auto id : call.sharedPromptPartIds) {
        if (m_blame.isSuspected(std::string(id))) {
            return true;
        }
    }
    return false;
}

bool PromptGuard::hasSuspects() const
{
    return m_blame.hasSuspects();
}

void PromptGuard::recordBreak(const ServerProcess &process, const CallHead &call)
{
    if (call.sharedPromptPartIds.isEmpty()) {
        return;
    }
    const auto key = keyOf(process);
    const auto [found, isNew] = m_breaks.try_emplace(key, Break{process, CrashSuspects()});
    std::uint32_t position = 0;
    for (const auto id : call.sharedPromptPartIds) {
        found->second.suspects.add(id, position, m_blame.isKnownSound(std::string(id)));
        ++position;
    }
    if (isNew) {
        spawn(m_context.get_executor(), "crash-check", checkCrash(key));
    }
}

Task<> PromptGuard::checkCrash(std::uint64_t key)
{
    const auto address = m_breaks.at(key).process.address;
    const auto endpoint = parseAddress(address);
    bool isRefused = false;
    if (endpoint) {
        HttpClientConnection connection(m_context);
        const auto connected = co_await connection.connect(*endpoint, ConnectTimeout);
        // No answer at all comes from a network partition rather than from a crash.
        isRefused = connected.has_error() && connected.error().code == NetErrorCode::ConnectRefused;
    }
    const auto broken = std::move(m_breaks.at(key));
    m_breaks.erase(key);
    if (!isRefused) {
        co_return;
    }
    CrashReport report{key, broken.suspects.ranked()};
    const std::span logged(report.suspects.data(), std::min(report.suspects.size(), MaxLoggedSuspects));
    logEvent(LogLevel::Info,
             "server-crashed",
             {{"server", broken.process.id.value()},
              {"address", address},
              {"parts_count", report.suspects.size()},
              {"parts", joinWithCommas(logged, &PromptSuspect::part)}});
    m_metrics.counter("server_crashes_total").add();
    recordCrash(report);
    for (const auto &suspect : report.suspects) {
        m_reportedParts.record(suspect.part, steadyNow());
    }
    m_unsent.addCrash(std::move(report));
}

void PromptGuard::recordCrash(const CrashReport &report)
{
    m_blame.recordCrash(report.process, report.suspects, steadyNow());
}

void PromptGuard::processNotice(const PromptNotice &notice)
{
    if (notice.host == m_host) {
        return;
    }
    const auto now = steadyNow();
    for (const auto &report : notice.crashes) {
        recordCrash(report);
    }
    for (const auto &part : notice.sound) {
        m_blame.recordSound(part, now);
        removeStored(part);
        // All hosts know it from that one.
        m_soundParts.erase(part);
    }
    addBlockedParts(notice.blocked, notice.host);
}

void PromptGuard::addBlockedParts(const std::vector<BlockedPart> &parts, std::string_view source)
{
    const auto now = steadyNow();
    bool isNew = false;
    for (const auto &part : parts) {
        if (part.part.size() > PromptPartIds::MaxIdLength) {
            // No call has such a part.
            continue;
        }
        if (m_blame.block(part, now)) {
            isNew = true;
            logEvent(LogLevel::Warning, "prompt-blocked", {{"part", part.part}, {"source", source}});
            storeIfReported(part.part);
        } else if (!m_blame.isBlocked(part.part, now) && m_blame.isKnownSound(part.part)) {
            m_soundParts.insert(part.part);
        }
    }
    if (isNew) {
        m_observers.onBlocked();
    }
}

void PromptGuard::storeIfReported(const std::string &part)
{
    // Only the hosts that reported it, since all hosts learn of a block at the same time.
    if (m_reportedParts.erase(part)) {
        m_storedParts.insert(part);
        m_observers.onStorable(m_blame.blockedParts(steadyNow()));
    }
}

void PromptGuard::removeStored(const std::string &part)
{
    if (m_storedParts.erase(part) > 0) {
        logEvent(LogLevel::Info, "prompt-cleared", {{"part", part}});
        m_observers.onStorable(m_blame.blockedParts(steadyNow()));
    }
}

void PromptGuard::tick(std::size_t hostCount)
{
    decide();
    addSoundParts(hostCount);
    if (!m_unsent.hasBlocked() && isAnnouncementDue(hostCount)) {
        m_unsent.setBlocked(m_blame.blockedParts(steadyNow()));
    }
    if (!m_unsent.isEmpty()) {
        m_observers.onNotice(m_unsent.next());
    }
}

void PromptGuard::decide()
{
    const auto now = steadyNow();
    const auto part = m_blame.decide(now);
    if (!part) {
        return;
    }
    logEvent(LogLevel::Warning, "prompt-blocked", {{"part", *part}, {"source", m_host}});
    m_unsent.setBlocked(m_blame.blockedParts(now));
    m_observers.onBlocked();
    storeIfReported(*part);
}

void PromptGuard::addSoundParts(std::size_t hostCount)
{
    if (m_soundParts.empty()) {
        m_soundNotices = FirstSoundNotices;
    } else if (isChosen(m_soundNotices, hostCount)) {
        for (const auto &part : std::exchange(m_soundParts, {})) {
            m_unsent.addSound(part);
        }
    } else {
        m_soundNotices *= SoundNoticeGrowth;
    }
}

bool PromptGuard::isChosen(double chosenHosts, std::size_t hostCount)
{
    const auto count = static_cast<double>(std::max<std::size_t>(hostCount, 1));
    return std::bernoulli_distribution(std::min(chosenHosts / count, 1.0))(m_random);
}

bool PromptGuard::isAnnouncementDue(std::size_t hostCount)
{
    const auto now = steadyNow();
    if (now < m_nextAnnouncementAt) {
        return false;
    }
    m_nextAnnouncementAt = now + AnnouncementInterval;
    m_metrics.gauge("prompt_parts_blocked").set(static_cast<std::int64_t>(m_blame.blockedParts(now).size()));
    return isChosen(AnnouncementsPerInterval, hostCount);
}

} // namespace Cardamomhill

#include "membership/agentreporter.h"

#include "core/hash.h"
#include "membership/configurationrepair.h"
#include "membership/membertable.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t TargetCount = 2;
// Regular reports alternate between the two entry hosts. A change of the configuration must arrive within 5 s even if
// both are dead: this period, the attempts and the repair by the next entry host fit into that time.
constexpr Milliseconds ReportPeriod(2400);
constexpr Milliseconds LoadChangeInterval(1000);
constexpr Milliseconds RetryTime(300);
// Used after AttemptsBeforeExclusion attempts if no other entry host answers.
constexpr Milliseconds UnreachableRetryTime(2000);
constexpr std::size_t AttemptsBeforeExclusion = 3;
// How long an unresponsive or leaving entry host is not reported to.
constexpr Seconds ExclusionTime(10);
constexpr Milliseconds PauseThreshold(2000);
constexpr Milliseconds RepairInterval(200);

std::uint32_t requestCount(const LoadReport &load)
{
    return load.running + load.queued;
}

bool isSignificant(const LoadReport &before, const LoadReport &after)
{
    const auto difference
        = std::max(requestCount(before), requestCount(after)) - std::min(requestCount(before), requestCount(after));
    return difference >= after.significantChange() || before.capacity != after.capacity;
}

} // namespace

AgentReporter::AgentReporter(AgentIdentity identity)
    : m_identity(std::move(identity))
    , m_domainHash(hash64(m_identity.domain.value()))
{
    m_row.server = MemberTable::hashOf(m_identity.server);
    m_row.incarnation = static_cast<std::uint64_t>(m_identity.start.time_since_epoch().count());
    m_row.state = static_cast<std::uint8_t>(MemberState::Live);
    m_row.capacity = LoadReport::UnknownCapacity;
}

void AgentReporter::setEntryHosts(const std::vector<EntryHost> &hosts)
{
    std::vector<HostId> names;
    for (const auto &host : hosts) {
        names.push_back(host.host);
        if (!m_isReady) {
            m_join.addHost(host.address);
        }
    }
    m_hosts.clear();
    for (const auto &name : rendezvousOrder(m_identity.server.value(), std::move(names))) {
        m_hosts.push_back(
            *std::find_if(hosts.begin(), hosts.end(), [&](const auto &host) { return host.host == name; }));
    }
}

void AgentReporter::setLoad(LoadReport load)
{
    load.sequence = m_row.sequence;
    m_row.setLoad(load);
}

void AgentReporter::leave()
{
    m_row.state = static_cast<std::uint8_t>(MemberState::Leaving);
    m_isReportUrgent = true;
}

void AgentReporter::tick(SteadyTime now)
{
    if (m_lastTick.has_value() && now - *m_lastTick > PauseThreshold) {
        m_join.shiftTimes(now - *m_lastTick);
        for (auto &target : m_targets) {
            target.attempts = 0;
        }
    }
    m_lastTick = now;
    join(now);
    chooseTargets(now);
    const auto regular = regularTarget(now);
    for (std::size_t preference = 0; preference < m_targets.size(); ++preference) {
        auto &target = m_targets.at(preference);
        if (m_isReportUrgent || regular == preference || isReportDue(target, now)) {
            if (target.isAnswered) {
                target.attempts = 0;
            }
            report(target, static_cast<std::uint8_t>(preference), now);
        }
    }
    m_isReportUrgent = m_isReportUrgent && m_targets.empty();
}

Result<void, MembershipError>
AgentReporter::onMessage(const ControlAddress &from, std::string_view bytes, SteadyTime now)
{
    const auto message = decodeMembershipMessage(bytes);
    if (!message) {
        return failure(message.error());
    }
    if (const auto *answer = std::get_if<AgentAnswer>(&message.value())) {
        handle(from, *answer, now);
    } else if (const auto *objects = std::get_if<ObjectsMessage>(&message.value())) {
        handle(from, *objects, now);
    }
    return success();
}

bool AgentReporter::hasConfiguration() const
{
    return m_isReady;
}

bool AgentReporter::isLeavingAcknowledged() const
{
    return !m_targets.empty() && std::all_of(m_targets.begin(), m_targets.end(), [](const ReportTarget &target) {
        return target.hasAcknowledgedLeaving;
    });
}

ServerRow AgentReporter::row() const
{
    return m_row;
}

const LocalObjectStore &AgentReporter::store() const
{
    return m_store;
}

std::vector<OutgoingMessage> AgentReporter::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<VersionedObject> AgentReporter::takeObjectsInForce()
{
    return std::exchange(m_inForce, {});
}

void AgentReporter::handle(const ControlAddress &from, const AgentAnswer &answer, SteadyTime now)
{
    for (auto &target : m_targets) {
        if (target.host.address == from && answer.number >= target.firstNumber && answer.number <= target.number) {
            target.isAnswered = true;
            target.attempts = 0;
            target.hasAcknowledgedLeaving = static_cast<MemberState>(answer.state) == MemberState::Leaving;
        }
    }
    if (answer.isLeaving) {
        m_unresponsive[from] = now;
    }
    if (answer.number != 0) {
        refuteSuspicion(answer);
    }
    compareConfiguration(from, answer, now);
}

void AgentReporter::handle(const ControlAddress &from, const ObjectsMessage &message, SteadyTime)
{
    for (const auto &update : message.objects) {
        if (update.object.key.kind != LocalObjectStore::OrganisationKind && m_store.merge(update.object) && m_isReady) {
            m_inForce.push_back(update.object);
            // The report with the new digest tells the entry hosts that the change was received.
            m_isReportUrgent = true;
        }
    }
    auto missing = internal::missingKeys(m_store, message);
    if (!missing.empty()) {
        send(from, FetchRequest{std::move(missing), true, message.isComplete});
    } else if (!message.isComplete) {
        requestRepair(from);
    } else {
        m_join.onObjects(from, message.isReady);
    }
}

void AgentReporter::compareConfiguration(const ControlAddress &from, const AgentAnswer &answer, SteadyTime now)
{
    const auto &theirs = answer.configuration;
    const bool isEqual = theirs.digest == m_store.digest(DigestScope::WithoutOrganisations);
    if (!m_isReady) {
        m_join.onAnswer(from, answer.hostIncarnation, theirs.isReady, isEqual, now);
    }
    auto &lastRepair = m_lastRepairs[from];
    if (!isEqual && now - lastRepair >= RepairInterval) {
        lastRepair = now;
        requestRepair(from);
    }
}

void AgentReporter::refuteSuspicion(const AgentAnswer &answer)
{
    const bool isNewer = answer.incarnation > m_row.incarnation;
    const bool isSuspected = answer.incarnation == m_row.incarnation && answer.state != m_row.state
        && static_cast<MemberState>(answer.state) != MemberState::Live;
    if (isNewer || isSuspected) {
        m_row.incarnation = answer.incarnation + 1;
        m_isReportUrgent = true;
    }
}

void AgentReporter::join(SteadyTime now)
{
    if (m_isReady) {
        return;
    }
    for (const auto &address : m_join.hostsToAsk(now)) {
        // Preference 1, since a host that is only asked for its configuration must not announce the agent.
        auto message = agentReport(TargetCount - 1);
        message.number = 0;
        send(address, message);
    }
    if (m_join.isComplete(now)) {
        m_isReady = true;
        m_store.forEach([this](const VersionedObject &object) { m_inForce.push_back(object); });
    }
}

void AgentReporter::chooseTargets(SteadyTime now)
{
    for (auto &target : m_targets) {
        if (!target.isAnswered && target.attempts >= AttemptsBeforeExclusion && now - target.lastSent >= RetryTime) {
            m_unresponsive[target.host.address] = now;
        }
    }
    std::vector<ReportTarget> chosen;
    for (const auto &host : m_hosts) {
        if (chosen.size() < TargetCount && !isUnresponsive(host.address, now)) {
            const auto same = [&](const ReportTarget &target) { return target.host.address == host.address; };
            const auto found = std::find_if(m_targets.begin(), m_targets.end(), same);
            chosen.push_back(found == m_targets.end() ? ReportTarget(host) : *found);
        }
    }
    // If no entry host answers, keep the current targets.
    if (!chosen.empty() || m_targets.empty()) {
        m_targets = std::move(chosen);
    }
}

bool AgentReporter::isUnresponsive(const ControlAddress &address, SteadyTime now) const
{
    const auto found = m_unresponsive.find(address);
    return found != m_unresponsive.end() && now - found->second < ExclusionTime;
}

void AgentReporter::report(ReportTarget &target, std::uint8_t preference, SteadyTime now)
{
    auto message = agentReport(preference);
    target.number = message.number;
    if (target.attempts == 0) {
        target.firstNumber = message.number;
    }
    target.lastSent = now;
    target.isAnswered = false;
    target.reported = m_row.load();
    ++target.attempts;
    send(target.host.address, message);
}

bool AgentReporter::isReportDue(const ReportTarget &target, SteadyTime now) const
{
    const auto elapsed = now - target.lastSent;
    if (target.lastSent == SteadyTime()) {
        return true;
    }
    if (!target.isAnswered) {
        return elapsed >= (target.attempts < AttemptsBeforeExclusion ? RetryTime : UnreachableRetryTime);
    }
    return elapsed >= LoadChangeInterval && isSignificant(target.reported, m_row.load());
}

std::optional<std::size_t> AgentReporter::regularTarget(SteadyTime now) const
{
    const auto earlier
        = [](const ReportTarget &left, const ReportTarget &right) { return left.lastSent < right.lastSent; };
    const auto latest = std::max_element(m_targets.begin(), m_targets.end(), earlier);
    if (latest == m_targets.end() || now - latest->lastSent < ReportPeriod) {
        return std::nullopt;
    }
    const auto earliest = std::min_element(m_targets.begin(), m_targets.end(), earlier);
    return static_cast<std::size_t>(earliest - m_targets.begin());
}

void AgentReporter::requestRepair(const ControlAddress &to)
{
    auto request = internal::fullRepairRequest(m_store, DigestScope::WithoutOrganisations);
    request.isJoining = !m_isReady;
    send(to, request);
}

ConfigurationSummary AgentReporter::summary() const
{
    return ConfigurationSummary{
        m_store.digest(DigestScope::WithoutOrganisations), m_store.highestRevision(), 0, m_isReady};
}

AgentReport AgentReporter::agentReport(std::uint8_t preference)
{
    ++m_row.sequence;
    AgentReport report;
    report.number = ++m_lastNumber;
    report.domain = m_domainHash;
    report.row = m_row;
    report.configuration = summary();
    report.preference = preference;
    return report;
}

void AgentReporter::send(const ControlAddress &to, const MembershipMessage &message)
{
    auto bytes = encode(message);
    const auto channel = bytes.size() <= DatagramLimitBytes ? MessageChannel::Datagram : MessageChannel::Connection;
    m_messages.push_back(OutgoingMessage{to, channel, std::move(bytes)});
}

} // namespace Cardamomhill

#include "entry/requestrouting.h"

#include "config/backendserver.h"
#include "config/configuration.h"
#include "config/organisation.h"
#include "config/profile.h"
#include "config/service.h"
#include "entry/callerrequest.h"
#include "logging/logging.h"
#include "net/steadynow.h"

#include <algorithm>
#include <set>

namespace Cardamomhill
{

namespace
{

AdmissionOptions admissionOptions(std::uint32_t concurrency)
{
    AdmissionOptions options;
    options.maximumInFlight = concurrency;
    return options;
}

PriorityClass priorityOf(TrafficClass trafficClass)
{
    switch (trafficClass) {
    case TrafficClass::Interactive:
        return PriorityClass::Interactive;
    case TrafficClass::Stream:
        return PriorityClass::Standard;
    case TrafficClass::Batch:
        return PriorityClass::Batch;
    }
    return PriorityClass::Standard;
}

RoutedServer routedServer(const BackendServer &configured)
{
    RoutedServer server;
    server.id = configured.id;
    server.service = configured.service;
    server.failureDomain = configured.failureDomain;
    // A configured server counts as live until membership reports otherwise; failed attempts make it unavailable.
    server.state = MemberState::Live;
    server.capacityLimit = configured.capacity;
    return server;
}

void logDecision(const CallerRequest &request, const RoutingDecision &decision)
{
    logEvent(LogLevel::Info,
             "routed",
             {{"request", request.id.value()},
              {"organisation", request.organisation->id.value()},
              {"service", request.service->id.value()},
              {"profile", request.profile->id.value()},
              {"server", decision.server.value()},
              {"score", decision.score},
              {"runner_up", decision.otherCandidate ? decision.otherCandidate->value() : std::string("none")},
              {"runner_up_score", decision.otherCandidateScore},
              {"reason", nameOf(decision.reason)}});
}

void logNotRouted(const CallerRequest &request, const RoutingError &error)
{
    logEvent(LogLevel::Warning,
             "not-routed",
             {{"request", request.id.value()},
              {"organisation", request.organisation->id.value()},
              {"service", request.service->id.value()},
              {"profile", request.profile->id.value()},
              {"reason", nameOf(error.code)}});
}

} // namespace

RequestRouting::RequestRouting(FailureDomainId localDomain, std::uint32_t concurrency, std::uint64_t seed)
    : m_localDomain(localDomain)
    , m_router(m_table, std::move(localDomain))
    , m_admission(admissionOptions(concurrency))
    , m_random(seed)
{
}

void RequestRouting::apply(const Configuration &configuration)
{
    std::set<ServiceId> services;
    std::set<BackendServerId> configured;
    for (const auto *server : configuration.backendServers()) {
        configured.insert(server->id);
        services.insert(server->service);
        m_table.upsert(routedServer(*server));
    }
    for (const auto &id : m_configuredServers) {
        if (configured.count(id) == 0) {
            m_table.remove(id);
        }
    }
    m_configuredServers = std::move(configured);
    for (const auto &service : services) {
        applySlotTable(configuration, service);
    }
}

void RequestRouting::applySlotTable(const Configuration &configuration, const ServiceId &service)
{
    const auto *json = configuration.slotTable(service);
    if (json == nullptr) {
        m_slots.erase(service);
        return;
    }
    const auto found = m_slots.find(service);
    if (found != m_slots.end() && found->second.json == *json) {
        return;
    }
    auto table = SlotTable::fromExchangedJson(*json);
    if (table.has_error()) {
        logEvent(LogLevel::Error, "slot-table-refused", {{"error", table.error().message()}});
        return;
    }
    m_slots.insert_or_assign(service, ServiceSlots{*json, std::move(table.value())});
}

Result<AdmissionGrant, AdmissionRefusal> RequestRouting::admit(const CallerRequest &request)
{
    return m_admission.admit(limitsOf(request), priorityOf(request.profile->trafficClass), steadyNow());
}

void RequestRouting::release(const CallerRequest &request)
{
    m_admission.release(request.organisation->id, steadyNow());
}

OrganisationLimits RequestRouting::limitsOf(const CallerRequest &request)
{
    return {request.organisation->id, request.organisation->weight, 0};
}

std::optional<BackendServerId> RequestRouting::slotOwner(const CallerRequest &request, const IdempotencyKey &key) const
{
    const auto found = m_slots.find(request.service->id);
    if (found == m_slots.end()) {
        return std::nullopt;
    }
    return found->second.table.entry(key.slot(request.organisation->id)).owner;
}

Result<RoutingDecision, RoutingError> RequestRouting::choose(const CallerRequest &request,
                                                             const std::vector<BackendServerId> &tried,
                                                             const std::optional<BackendServerId> &owner)
{
    RoutingRequest query;
    query.service = request.service->id;
    if (request.profile->prefixAffinity && request.service->kind == ServiceKind::Model) {
        query.prompt = request.body;
    }
    query.tried = tried;
    query.slotOwner = owner;
    auto decision = m_router.choose(query, steadyNow(), m_random);
    if (decision.has_error()) {
        logNotRouted(request, decision.error());
    } else {
        logDecision(request, decision.value());
    }
    return decision;
}

void RequestRouting::attemptStarted(const BackendServerId &server)
{
    m_table.attemptStarted(server);
}

void RequestRouting::attemptEnded(const BackendServerId &server, AttemptResult result)
{
    m_table.attemptFinished(server, result, steadyNow());
}

Result<void, RetryRefusal>
RequestRouting::mayRetry(const CallerRequest &request, const AttemptLog &attempts, bool answerStarted)
{
    const auto now = steadyNow();
    auto &budget = m_budgets.try_emplace(request.service->id, RetryBudgetOptions(), now).first->second;
    if (attempts.count() == 1) {
        budget.recordFirstAttempt(now);
    }
    return m_retryPolicy.decide({request.isIdempotent, answerStarted, request.deadline}, attempts, budget, now);
}

bool RequestRouting::isAvailable(const BackendServerId &server) const
{
    const auto index = m_table.find(server);
    return index && m_table.server(*index).state == MemberState::Live
        && m_table.availability(*index, steadyNow()) == Availability::Available && m_table.mayDecideKeys(*index);
}

SlotSet RequestRouting::availableSlots(const SlotTable &table, bool localOnly) const
{
    SlotSet slots;
    std::map<BackendServerId, bool> available;
    for (std::size_t i = 0; i < slotCount; ++i) {
        const auto &entry = table.entry(static_cast<SlotNumber>(i));
        const auto known = available.find(entry.owner);
        bool isUsable = false;
        if (known != available.end()) {
            isUsable = known->second;
        } else {
            const auto index = m_table.find(entry.owner);
            const bool isLocal = index && m_table.server(*index).failureDomain == m_localDomain;
            isUsable = isAvailable(entry.owner) && (isLocal || !localOnly);
            available[entry.owner] = isUsable;
        }
        slots.set(i, isUsable && entry.state == SlotEntryState::Owned);
    }
    return slots;
}

std::optional<IdempotencyKey> RequestRouting::issueKey(const ServiceId &service, const OrganisationId &organisation)
{
    const auto found = m_slots.find(service);
    if (found == m_slots.end()) {
        return std::nullopt;
    }
    auto slots = availableSlots(found->second.table, true);
    if (slots.none()) {
        slots = availableSlots(found->second.table, false);
    }
    const auto key = IdempotencyKey::generate(organisation, slots, wallNow(), m_random);
    if (key.has_error()) {
        return std::nullopt;
    }
    return key.value();
}

void RequestRouting::updateLoad(const BackendServerId &server,
                                std::uint64_t incarnation,
                                const LoadReport &report,
                                ReportSource source)
{
    m_table.report(server, incarnation, report, source, steadyNow());
}

void RequestRouting::updateState(const BackendServerId &server, std::uint64_t incarnation, MemberState state)
{
    m_table.setState(server, incarnation, state);
}

} // namespace Cardamomhill

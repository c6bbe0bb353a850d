#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/loadreport.h"
#include "core/memberstate.h"
#include "core/random.h"
#include "core/result.h"
#include "execution/idempotencykey.h"
#include "execution/slottable.h"
#include "routing/admissioncontrol.h"
#include "routing/attemptlog.h"
#include "routing/backendtable.h"
#include "routing/retrybudget.h"
#include "routing/retrypolicy.h"
#include "routing/router.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill
{

class Configuration;
struct CallerRequest;

/// The routing state of one traffic thread: backend servers and their load, shares of organisations, retry budgets and
/// slot tables.
class RequestRouting
{
public:
    RequestRouting(FailureDomainId localDomain, std::uint32_t concurrency, std::uint64_t seed);

    void apply(const Configuration &configuration);

    Result<AdmissionGrant, AdmissionRefusal> admit(const CallerRequest &request);
    void release(const CallerRequest &request);

    /// The backend server whose agent owns the slot of a key; nothing if the service has no slot table.
    std::optional<BackendServerId> slotOwner(const CallerRequest &request, const IdempotencyKey &key) const;

    /// Chooses a backend server that is not in `tried`, or only `owner` if it is given, and logs the decision.
    Result<RoutingDecision, RoutingError> choose(const CallerRequest &request,
                                                 const std::vector<BackendServerId> &tried,
                                                 const std::optional<BackendServerId> &owner);

    void attemptStarted(const BackendServerId &server);
    void attemptEnded(const BackendServerId &server, AttemptResult result);

    /// Whether a request whose last attempt failed may be retried; a retry takes a token from the budget of its
    /// service.
    Result<void, RetryRefusal> mayRetry(const CallerRequest &request, const AttemptLog &attempts, bool answerStarted);

    /// A new key whose slot has an available owner, in the local failure domain if possible.
    std::optional<IdempotencyKey> issueKey(const ServiceId &service, const OrganisationId &organisation);

    void
    updateLoad(const BackendServerId &server, std::uint64_t incarnation, const LoadReport &report, ReportSource source);
    void updateState(const BackendServerId &server, std::uint64_t incarnation, MemberState state);

private:
    struct ServiceSlots {
        std::string json;
        SlotTable table;
    };

    void applySlotTable(const Configuration &configuration, const ServiceId &service);
    bool isAvailable(const BackendServerId &server) const;
    SlotSet availableSlots(const SlotTable &table, bool localOnly) const;
    static OrganisationLimits limitsOf(const CallerRequest &request);

    FailureDomainId m_localDomain;
    BackendTable m_table;
    Router m_router;
    AdmissionControl m_admission;
    RetryPolicy m_retryPolicy;
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<ServiceId, ServiceSlots> m_slots;
    std::set<BackendServerId> m_configuredServers;
    Random m_random;
};

} // namespace Cardamomhill

#include "gateway/evacuationrecord.h"

#include "gateway/attempt.h"
#include "gateway/gatewaythread.h"
#include "logging/logging.h"
#include "metrics/metricsregistry.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// The calls that it states are attempts that have begun to send to a server of the domain and have not ended.
void logChange(std::string_view event, GatewayThread &thread, const FailureDomainId &domain)
{
    const auto servers = thread.servers().serversIn(domain);
    const auto &attempts = thread.attempts();
    const auto isThere = [&servers](const Attempt *attempt) {
        return std::find(servers.begin(), servers.end(), attempt->server()) != servers.end();
    };
    logEvent(LogLevel::Info,
             event,
             {{"failure_domain", domain.value()},
              {"servers", servers.size()},
              {"calls", std::count_if(attempts.begin(), attempts.end(), isThere)}});
}

} // namespace

void recordEvacuations(GatewayThread &thread, const EvacuatedDomains &before)
{
    const auto &evacuated = thread.servers().evacuated();
    thread.metrics().gauge("evacuated_domains").set(static_cast<std::int64_t>(evacuated.domains.size()));
    for (const auto &domain : evacuated.domains) {
        if (!before.contains(domain)) {
            logChange("domain-evacuated", thread, domain);
        }
    }
    for (const auto &domain : before.domains) {
        if (!evacuated.contains(domain)) {
            logChange("domain-restored", thread, domain);
        }
    }
}

} // namespace Cardamomhill

#include "configcheck/limitcheck.h"

#include "configcheck/configurationdocument.h"
#include "configcheck/findinglist.h"
#include "configcheck/processlimits.h"

#include <algorithm>
#include <string>

namespace Cardamomhill::internal
{

namespace
{

std::string textOf(Milliseconds time)
{
    return std::to_string(time.count());
}

/// The most retries that the budget can ever pay for during one call: without a ratio, its slack in each window that
/// the call can touch. With a ratio, other calls can pay for any number.
double maxRetries(const RetryBudgetOptions &retries, Milliseconds timeout)
{
    const auto windows = 1 + timeout / std::max(retries.window, Microseconds(1));
    return retries.slack * static_cast<double>(windows);
}

void addObjectives(FindingList &findings, const ConfigurationDocument::RouteEntry &entry)
{
    const auto &route = entry.value.route;
    const auto add = [&](FindingKind kind, ConfigurationField field, Milliseconds objective) {
        if (objective > route.timeout) {
            findings.add(kind,
                         findings.pathOf(entry.path, field),
                         LimitConflict{textOf(objective),
                                       textOf(route.timeout),
                                       findings.pathOf(entry.path, ConfigurationField::RouteTimeout)});
        }
    };
    add(FindingKind::LatencyObjectiveAboveTimeout, ConfigurationField::RouteLatencyObjective, route.latencyObjective);
    if (route.kind == CallKind::Stream) {
        add(FindingKind::PauseObjectiveAboveTimeout, ConfigurationField::RoutePauseObjective, route.pauseObjective);
    }
}

void addAttempts(FindingList &findings,
                 const ConfigurationDocument::RouteEntry &entry,
                 const RetryBudgetOptions &retries)
{
    const auto &route = entry.value.route;
    const bool isUnlimited = retries.ratio > 0 || route.attemptLimit < 2;
    if (!isUnlimited && route.attemptLimit - 1 > maxRetries(retries, route.timeout)) {
        const auto limit = static_cast<std::uint64_t>(maxRetries(retries, route.timeout)) + 1;
        findings.add(FindingKind::AttemptsAboveRetryBudget,
                     findings.pathOf(entry.path, ConfigurationField::RouteAttemptLimit),
                     LimitConflict{std::to_string(route.attemptLimit), std::to_string(limit), ""});
    }
}

void addColdRates(FindingList &findings, const ConfigurationDocument &document)
{
    for (const auto &entry : document.services()) {
        const auto &service = entry.value;
        if (entry.isSound && service.coldStart > Milliseconds(0) && service.coldCallsPerSecond == 0) {
            findings.add(FindingKind::ColdRateZero,
                         findings.pathOf(entry.path, ConfigurationField::ServiceColdCallsPerSecond),
                         NamedEntry{service.id.value()});
        }
    }
}

void addCallerLimits(FindingList &findings, const ConfigurationDocument &document, const ProcessLimits *limits)
{
    const auto &entry = document.limits();
    const auto &callers = entry.value;
    if (entry.isSound && callers.requestReadTimeout > callers.idleTimeout) {
        findings.add(FindingKind::HeaderTimeoutAboveIdleTimeout,
                     findings.pathOf(entry.path, ConfigurationField::LimitRequestReadTimeout),
                     LimitConflict{textOf(callers.requestReadTimeout),
                                   textOf(callers.idleTimeout),
                                   findings.pathOf(entry.path, ConfigurationField::LimitIdleTimeout)});
    }
    if (entry.isSound && limits != nullptr && callers.bodyBytes > limits->bodyBudgetBytes) {
        findings.add(FindingKind::BodyLimitAboveBudget,
                     findings.pathOf(entry.path, ConfigurationField::LimitBodyBytes),
                     LimitConflict{std::to_string(callers.bodyBytes), std::to_string(limits->bodyBudgetBytes), ""});
    }
}

} // namespace

void addLimitFindings(FindingList &findings, const ConfigurationDocument &document, const ProcessLimits *limits)
{
    for (const auto &entry : document.routes()) {
        if (entry.isSound) {
            addObjectives(findings, entry);
        }
        if (entry.isSound && limits != nullptr) {
            addAttempts(findings, entry, limits->retries);
        }
    }
    addColdRates(findings, document);
    addCallerLimits(findings, document, limits);
}

} // namespace Cardamomhill::internal

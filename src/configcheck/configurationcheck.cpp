#include "configcheck/configurationcheck.h"

#include "configcheck/configurationdocument.h"
#include "configcheck/findinglist.h"
#include "configcheck/limitcheck.h"
#include "configcheck/matchcheck.h"

namespace Cardamomhill
{

Findings
checkConfiguration(const ConfigurationDocument &document, const DocumentCodec &codec, const ProcessLimits *limits)
{
    internal::FindingList findings(codec);
    for (const auto &problem : document.problems()) {
        findings.add(problem.kind, problem.path, problem.detail);
    }
    if (document.isComplete()) {
        internal::addMatchFindings(findings, document);
        internal::addLimitFindings(findings, document, limits);
    }
    return findings.take();
}

} // namespace Cardamomhill

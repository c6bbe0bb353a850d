#pragma once

namespace Cardamomhill
{
class ConfigurationDocument;
struct ProcessLimits;
} // namespace Cardamomhill

namespace Cardamomhill::internal
{

class FindingList;

/// Adds the limits that contradict each other.
/// @param limits nullptr if the settings of the process are not known
void addLimitFindings(FindingList &findings, const ConfigurationDocument &document, const ProcessLimits *limits);

} // namespace Cardamomhill::internal

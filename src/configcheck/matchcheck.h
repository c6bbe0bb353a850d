#pragma once

namespace Cardamomhill
{
class ConfigurationDocument;
} // namespace Cardamomhill

namespace Cardamomhill::internal
{

class FindingList;

/// Adds the entries that can never match a call.
void addMatchFindings(FindingList &findings, const ConfigurationDocument &document);

} // namespace Cardamomhill::internal

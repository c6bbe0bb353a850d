#pragma once

#include "configcheck/finding.h"

namespace Cardamomhill
{

class ConfigurationDocument;
class DocumentCodec;
struct ProcessLimits;

/// What gateways reject or ignore, entries that can never match, and limits that contradict each other, in this order.
/// Entries with a field that could not be read are not checked further, and no entry is if reading stopped early.
/// @param codec names the fields of the document
/// @param limits nullptr if the settings of the process are not known
Findings
checkConfiguration(const ConfigurationDocument &document, const DocumentCodec &codec, const ProcessLimits *limits);

/// The differences of a document from another version, which is usually the one in force. Routes are compared by host
/// name and path prefix, services and organisations by name; of entries that replace each other, the last one counts.
/// Both documents must be complete.
Findings compareConfigurations(const ConfigurationDocument &oldDocument,
                               const ConfigurationDocument &newDocument,
                               const DocumentCodec &codec);

} // namespace Cardamomhill

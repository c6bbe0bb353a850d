#pragma once

#include "configcheck/configurationfield.h"

#include <string>
#include <vector>

namespace Cardamomhill
{
class DocumentCodec;
struct CallerLimits;
struct DocumentRoute;
struct TrafficService;
} // namespace Cardamomhill

namespace Cardamomhill::internal
{

/// A field and its value as text.
struct FieldValue {
    ConfigurationField field;
    /// As in a document.
    std::string value;
};

/// All fields by which two versions of an entry are compared; always the same fields in the same order, except those of
/// an engine profile, which follow the others if there is one.
std::vector<FieldValue> fieldsOf(const DocumentRoute &entry, const DocumentCodec &codec);
std::vector<FieldValue> fieldsOf(const TrafficService &service, const DocumentCodec &codec);
std::vector<FieldValue> fieldsOf(const CallerLimits &limits, const DocumentCodec &codec);

} // namespace Cardamomhill::internal

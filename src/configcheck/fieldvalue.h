#pragma once

#include "configcheck/configurationfield.h"

#include <string>
#include <vector>

namespace Cardamomhill
{
struct CallerLimits;
struct DocumentRoute;
struct TrafficService;
} // namespace Cardamomhill

namespace Cardamomhill::internal
{

/// A field and its value as text.
struct FieldValue {
    ConfigurationField field;
    std::string value;
};

/// All fields by which two versions of an entry are compared; always the same fields in the same order, except those of
/// an engine profile, which follow the others if there is one.
std::vector<FieldValue> fieldsOf(const DocumentRoute &entry);
std::vector<FieldValue> fieldsOf(const TrafficService &service);
std::vector<FieldValue> fieldsOf(const CallerLimits &limits);

} // namespace Cardamomhill::internal

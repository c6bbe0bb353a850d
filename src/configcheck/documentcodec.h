#pragma once

#include "configcheck/configurationdocument.h"
#include "configcheck/configurationfield.h"
#include "core/clocktypes.h"
#include "core/jsonerror.h"
#include "core/result.h"
#include "traffic/callkind.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Parses the configuration documents of a platform and names their fields. Holds no policy.
class DocumentCodec
{
public:
    virtual ~DocumentCodec() = default;

    /// Fails only if the text cannot be read as JSON. Fields that cannot be used are problems of the document.
    virtual Result<ConfigurationDocument, JsonError> parseDocument(std::string_view text) const = 0;

    /// The path of a field within its entry, or of a member within the document.
    virtual std::string_view fieldName(ConfigurationField field) const = 0;

    /// A time in the unit of the field.
    virtual std::string textOf(ConfigurationField field, Milliseconds time) const = 0;
    virtual std::string textOf(CallKind kind) const = 0;
};

} // namespace Cardamomhill

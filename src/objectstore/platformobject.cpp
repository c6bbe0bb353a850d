#include "objectstore/platformobject.h"

#include "core/parsejson.h"
#include "objectstore/operationhistory.h"

namespace Cardamomhill
{

Result<VersionedObject, PlatformError> toVersionedObject(const PlatformObject &object)
{
    auto parsed = parseJson(object.value);
    if (parsed.has_error() || !parsed.value().is_object()) {
        return failure(PlatformError{PlatformErrorCode::NotAnObject, object.key, "the value is not a JSON object"});
    }
    auto &value = parsed.value();
    const auto retired = value.find("retired");
    if (retired != value.end() && !retired->is_boolean()) {
        return failure(
            PlatformError{PlatformErrorCode::ReservedField, object.key, "the field retired must be true or false"});
    }
    if (retired != value.end() && retired->get<bool>()) {
        return VersionedObject{object.key, object.version, "", true};
    }
    value.erase("retired");
    value.erase(OperationHistory::OperationField);
    value.erase(OperationHistory::PreviousOperationsField);
    return VersionedObject{object.key, object.version, value.dump(), false};
}

} // namespace Cardamomhill

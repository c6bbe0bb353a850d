#include "objectstore/platformobject.h"

#include "objectstore/operationhistory.h"

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

Result<VersionedObject, PlatformError> toVersionedObject(const PlatformObject &object)
{
    auto value = nlohmann::json::parse(object.value, nullptr, false);
    if (!value.is_object()) {
        return failure(PlatformError{PlatformErrorCode::NotAnObject, object.key, "the value is not a JSON object"});
    }
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

#pragma once

#include "config/configerror.h"
#include "core/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill::internal
{

/// Reads the fields of one configuration object and collects all its errors.
class ObjectReader
{
public:
    ObjectReader(const std::string &kind, const std::string &name, std::string_view json);

    /// An optional integer between two bounds, both included.
    std::int64_t integer(const std::string &field, std::int64_t fallback, std::int64_t min, std::int64_t max);

    /// An optional number between two bounds, both included.
    double number(const std::string &field, double fallback, double min, double max);

    bool boolean(const std::string &field, bool fallback);

    std::string string(const std::string &field, const std::string &fallback);

    std::string requiredString(const std::string &field);

    std::int64_t requiredInteger(const std::string &field, std::int64_t min, std::int64_t max);

    std::vector<std::string> strings(const std::string &field);

    /// A required field whose value is one of the names of an enumeration.
    template<class Enum>
    Enum required(const std::string &field)
    {
        const auto value = valueOf<Enum>(requiredString(field));
        if (!value) {
            addError(ConfigErrorCode::UnknownValue, field, acceptedNames<Enum>());
            return Enum{};
        }
        return *value;
    }

    void addError(ConfigErrorCode code, const std::string &field, const std::string &accepted);

    /// The value if there are no errors. Fields that were never read count as unknown fields.
    template<class T>
    Result<T, ConfigErrors> finish(T value)
    {
        reportUnknownFields();
        if (!m_errors.empty()) {
            return failure(m_errors);
        }
        return value;
    }

private:
    const nlohmann::json *find(const std::string &field);
    void reportUnknownFields();

    std::string m_object;
    nlohmann::json m_value = nlohmann::json::object();
    std::set<std::string> m_knownFields;
    ConfigErrors m_errors;
};

} // namespace Cardamomhill::internal

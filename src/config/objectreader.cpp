#include "config/objectreader.h"

#include "config/objectname.h"
#include "core/parsejson.h"

namespace Cardamomhill::internal
{

namespace
{

template<class T>
std::string range(T min, T max)
{
    return std::to_string(min) + " to " + std::to_string(max);
}

} // namespace

ObjectReader::ObjectReader(const std::string &kind, const std::string &name, std::string_view json)
    : m_object(kind + "/" + name)
{
    if (!isValidObjectName(name)) {
        addError(ConfigErrorCode::InvalidName, "", std::string(AcceptedObjectNames));
    }
    auto parsed = parseJson(json);
    if (parsed.has_value() && parsed.value().is_object()) {
        m_value = std::move(parsed.value());
    } else {
        addError(ConfigErrorCode::MalformedJson, "", "a JSON object");
    }
    // Fields of every object, written by conditional updates or to retire it; not part of the configuration itself.
    m_knownFields = {"operation", "previousOperations", "retired"};
}

const nlohmann::json *ObjectReader::find(const std::string &field)
{
    m_knownFields.insert(field);
    const auto found = m_value.find(field);
    return found == m_value.end() ? nullptr : &*found;
}

std::int64_t ObjectReader::integer(const std::string &field, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number_integer()) {
        addError(ConfigErrorCode::WrongType, field, "a whole number");
        return fallback;
    }
    const auto number = value->get<std::int64_t>();
    if (number < min || number > max) {
        addError(ConfigErrorCode::OutOfRange, field, range(min, max));
        return fallback;
    }
    return number;
}

std::int64_t ObjectReader::requiredInteger(const std::string &field, std::int64_t min, std::int64_t max)
{
    if (find(field) == nullptr) {
        addError(ConfigErrorCode::MissingField, field, range(min, max));
    }
    return integer(field, min, min, max);
}

double ObjectReader::number(const std::string &field, double fallback, double min, double max)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number()) {
        addError(ConfigErrorCode::WrongType, field, "a number");
        return fallback;
    }
    const auto number = value->get<double>();
    if (number < min || number > max) {
        addError(ConfigErrorCode::OutOfRange, field, range(min, max));
        return fallback;
    }
    return number;
}

bool ObjectReader::boolean(const std::string &field, bool fallback)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        addError(ConfigErrorCode::WrongType, field, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::string ObjectReader::string(const std::string &field, const std::string &fallback)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        addError(ConfigErrorCode::WrongType, field, "a string");
        return fallback;
    }
    return value->get<std::string>();
}

std::string ObjectReader::requiredString(const std::string &field)
{
    if (find(field) == nullptr) {
        addError(ConfigErrorCode::MissingField, field, "a string");
    }
    return string(field, "");
}

std::vector<std::string> ObjectReader::strings(const std::string &field)
{
    const auto *value = find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array()) {
        addError(ConfigErrorCode::WrongType, field, "a list of strings");
        return {};
    }
    std::vector<std::string> strings;
    for (const auto &element : *value) {
        if (!element.is_string()) {
            addError(ConfigErrorCode::WrongType, field, "a list of strings");
            return {};
        }
        strings.push_back(element.get<std::string>());
    }
    return strings;
}

void ObjectReader::addError(ConfigErrorCode code, const std::string &field, const std::string &accepted)
{
    m_errors.push_back({code, m_object, field, accepted});
}

void ObjectReader::reportUnknownFields()
{
    std::string accepted;
    for (const auto &field : m_knownFields) {
        accepted += (accepted.empty() ? "" : ", ") + field;
    }
    for (const auto &[field, value] : m_value.items()) {
        if (m_knownFields.count(field) == 0) {
            addError(ConfigErrorCode::UnknownField, field, accepted);
        }
    }
}

} // namespace Cardamomhill::internal

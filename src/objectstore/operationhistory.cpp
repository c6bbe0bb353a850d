#include "objectstore/operationhistory.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr const char *VersionPrefix = "version:";

bool isVersionId(const std::string &operation)
{
    return operation.rfind(VersionPrefix, 0) == 0;
}

std::string stringField(const nlohmann::json &value, const char *name)
{
    const auto field = value.find(name);
    return field != value.end() && field->is_string() ? field->get<std::string>() : std::string();
}

} // namespace

OperationHistory OperationHistory::fromObject(const PlatformObject &object)
{
    OperationHistory history;
    const auto value = nlohmann::json::parse(object.value, nullptr, false);
    if (value.is_object()) {
        history.m_current = stringField(value, OperationField);
        const auto previous = value.find(PreviousOperationsField);
        if (!history.m_current.empty() && previous != value.end() && previous->is_array()) {
            for (const auto &operation : *previous) {
                history.m_previous.push_back(operation.is_string() ? operation.get<std::string>() : VersionPrefix);
            }
        }
    }
    if (history.m_current.empty()) {
        history.m_current = VersionPrefix + std::to_string(object.version);
    }
    history.m_hasGap = isVersionId(history.m_current)
        || std::any_of(history.m_previous.begin(), history.m_previous.end(), isVersionId);
    return history;
}

bool OperationHistory::contains(const std::string &operation) const
{
    return m_current == operation || std::find(m_previous.begin(), m_previous.end(), operation) != m_previous.end();
}

const std::string &OperationHistory::current() const
{
    return m_current;
}

const std::vector<std::string> &OperationHistory::previous() const
{
    return m_previous;
}

bool OperationHistory::reachesBackTo(const std::optional<PlatformObject> &base) const
{
    if (base.has_value()) {
        return contains(fromObject(*base).current());
    }
    return !m_hasGap && m_previous.size() < MaxPreviousOperations;
}

std::vector<std::string> OperationHistory::previousForNextWrite() const
{
    std::vector<std::string> operations{m_current};
    operations.insert(operations.end(), m_previous.begin(), m_previous.end());
    operations.resize(std::min(operations.size(), MaxPreviousOperations));
    return operations;
}

} // namespace Cardamomhill

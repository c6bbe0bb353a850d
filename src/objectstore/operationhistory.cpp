#include "objectstore/operationhistory.h"

#include "core/jsonfield.h"
#include "core/parsejson.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr const char *VersionPrefix = "version:";

bool isVersionId(const std::string &operation)
{
    return operation.rfind(VersionPrefix, 0) == 0;
}

} // namespace

OperationHistory OperationHistory::fromObject(const PlatformObject &object)
{
    OperationHistory history;
    const auto parsed = parseJson(object.value);
    if (parsed.has_value() && parsed.value().is_object()) {
        const auto &value = parsed.value();
        history.m_current = jsonString(value, OperationField);
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

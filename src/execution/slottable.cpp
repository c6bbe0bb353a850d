#include "execution/slottable.h"

#include "core/parsejson.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t operationHistoryLength = 8;
constexpr std::size_t fieldsPerRow = 4;
constexpr auto fieldNames
    = std::to_array<std::string_view>({"operation", "previousOperations", "owners", "operations", "slots"});

SlotTableError errorAt(SlotTableErrorCode code, std::string path)
{
    return SlotTableError{code, std::move(path)};
}

std::string elementPath(std::string_view field, std::size_t index)
{
    return std::string(field) + "[" + std::to_string(index) + "]";
}

Result<void, SlotTableError> checkFields(const nlohmann::json &value)
{
    if (!value.is_object()) {
        return failure(errorAt(SlotTableErrorCode::NotAnObject, ""));
    }
    for (const std::string_view field : fieldNames) {
        if (!value.contains(field)) {
            return failure(errorAt(SlotTableErrorCode::MissingField, std::string(field)));
        }
    }
    for (const auto &item : value.items()) {
        if (std::find(fieldNames.begin(), fieldNames.end(), item.key()) == fieldNames.end()) {
            return failure(errorAt(SlotTableErrorCode::UnknownField, item.key()));
        }
    }
    return success();
}

template<class Name>
Result<Name, SlotTableError> readName(const nlohmann::json &value, const std::string &path)
{
    if (!value.is_string()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, path));
    }
    if (value.get_ref<const std::string &>().empty()) {
        return failure(errorAt(SlotTableErrorCode::EmptyName, path));
    }
    return Name(value.get<std::string>());
}

template<class Name>
Result<std::vector<Name>, SlotTableError>
readNames(const nlohmann::json &value, std::string_view field, std::size_t limit)
{
    if (!value.is_array()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, std::string(field)));
    }
    if (value.size() > limit) {
        return failure(errorAt(SlotTableErrorCode::WrongCount, std::string(field)));
    }
    std::vector<Name> names;
    for (std::size_t index = 0; index < value.size(); ++index) {
        BOOST_OUTCOME_TRY(name, readName<Name>(value[index], elementPath(field, index)));
        names.push_back(std::move(name));
    }
    return names;
}

Result<std::uint64_t, SlotTableError> readNumber(const nlohmann::json &value, std::uint64_t limit, std::string path)
{
    if (!value.is_number_unsigned()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, std::move(path)));
    }
    const auto number = value.get<std::uint64_t>();
    if (number >= limit) {
        return failure(errorAt(SlotTableErrorCode::OutOfRange, std::move(path)));
    }
    return number;
}

Result<SlotEntry, SlotTableError> readRow(const nlohmann::json &row,
                                          const std::vector<BackendServerId> &owners,
                                          const std::vector<OperationId> &operations,
                                          const std::string &path)
{
    if (!row.is_array()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, path));
    }
    if (row.size() != fieldsPerRow) {
        return failure(errorAt(SlotTableErrorCode::WrongCount, path));
    }
    BOOST_OUTCOME_TRY(owner, readNumber(row[0], owners.size(), path + "[0]"));
    if (!row[1].is_string()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, path + "[1]"));
    }
    const auto state = valueOf<SlotEntryState>(row[1].get_ref<const std::string &>());
    if (!state) {
        return failure(errorAt(SlotTableErrorCode::UnknownState, path + "[1]"));
    }
    BOOST_OUTCOME_TRY(generation, readNumber(row[2], UINT64_MAX, path + "[2]"));
    BOOST_OUTCOME_TRY(operation, readNumber(row[3], operations.size(), path + "[3]"));
    return SlotEntry{owners[owner], *state, generation, operations[operation]};
}

/// Assigns consecutive indexes to names, in the order of their first use.
template<class Name>
class NameIndex
{
public:
    std::size_t indexOf(const Name &name)
    {
        const auto [position, added] = m_indexes.emplace(name, m_names.size());
        if (added) {
            m_names.push_back(name.value());
        }
        return position->second;
    }

    const nlohmann::json &names() const
    {
        return m_names;
    }

private:
    std::map<Name, std::size_t> m_indexes;
    nlohmann::json m_names = nlohmann::json::array();
};

} // namespace

Result<SlotTable, SlotTableError> SlotTable::create(const std::vector<BackendServerId> &owners,
                                                    const OperationId &operation)
{
    if (owners.empty()) {
        return failure(errorAt(SlotTableErrorCode::NoOwner, ""));
    }
    SlotTable table;
    table.m_operation = operation;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        table.m_entries[slot] = {owners[slot % owners.size()], SlotEntryState::Assigned, 1, operation};
    }
    return table;
}

Result<SlotTable, SlotTableError> SlotTable::fromJson(const nlohmann::json &value, std::uint64_t version)
{
    BOOST_OUTCOME_TRY(checkFields(value));
    SlotTable table;
    table.m_version = version;
    BOOST_OUTCOME_TRY(tableOperation, readName<OperationId>(value["operation"], "operation"));
    BOOST_OUTCOME_TRY(
        history, readNames<OperationId>(value["previousOperations"], "previousOperations", operationHistoryLength));
    BOOST_OUTCOME_TRY(owners, readNames<BackendServerId>(value["owners"], "owners", slotCount));
    BOOST_OUTCOME_TRY(operations, readNames<OperationId>(value["operations"], "operations", slotCount));
    const nlohmann::json &rows = value["slots"];
    if (!rows.is_array()) {
        return failure(errorAt(SlotTableErrorCode::WrongType, "slots"));
    }
    if (rows.size() != slotCount) {
        return failure(errorAt(SlotTableErrorCode::WrongCount, "slots"));
    }
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        BOOST_OUTCOME_TRY(entry, readRow(rows[slot], owners, operations, elementPath("slots", slot)));
        table.m_entries[slot] = std::move(entry);
    }
    table.m_operation = std::move(tableOperation);
    table.m_previousOperations = std::move(history);
    return table;
}

Result<SlotTable, SlotTableError> SlotTable::fromText(std::string_view text, std::uint64_t version)
{
    const auto value = parseJson(text);
    if (value.has_error()) {
        return failure(errorAt(SlotTableErrorCode::NotAnObject, ""));
    }
    return fromJson(value.value(), version);
}

Result<SlotTable, SlotTableError> SlotTable::fromExchangedJson(std::string_view json)
{
    auto parsed = parseJson(json);
    if (parsed.has_error() || !parsed.value().is_object()) {
        return failure(errorAt(SlotTableErrorCode::NotAnObject, ""));
    }
    auto &value = parsed.value();
    value["operation"] = "copy";
    value["previousOperations"] = nlohmann::json::array();
    return fromJson(value, 0);
}

nlohmann::json SlotTable::toJson() const
{
    NameIndex<BackendServerId> owners;
    NameIndex<OperationId> operations;
    nlohmann::json rows = nlohmann::json::array();
    for (const SlotEntry &entry : m_entries) {
        rows.push_back(nlohmann::json::array({owners.indexOf(entry.owner),
                                              std::string(nameOf(entry.state)),
                                              entry.generation,
                                              operations.indexOf(entry.operation)}));
    }
    nlohmann::json history = nlohmann::json::array();
    for (const OperationId &operation : m_previousOperations) {
        history.push_back(operation.value());
    }
    return {{"operation", m_operation.value()},
            {"previousOperations", std::move(history)},
            {"owners", owners.names()},
            {"operations", operations.names()},
            {"slots", std::move(rows)}};
}

void SlotTable::assign(SlotNumber slot,
                       const BackendServerId &owner,
                       SlotEntryState state,
                       const OperationId &operation)
{
    m_entries[slot] = {owner, state, m_entries[slot].generation + 1, operation};
}

void SlotTable::setOperation(const OperationId &operation)
{
    m_previousOperations.insert(m_previousOperations.begin(), m_operation);
    m_previousOperations.resize(std::min(m_previousOperations.size(), operationHistoryLength));
    m_operation = operation;
}

SlotSet SlotTable::slotsOwnedBy(const BackendServerId &owner) const
{
    SlotSet slots;
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        slots.set(slot, m_entries[slot].owner == owner);
    }
    return slots;
}

Result<SlotTable, SlotTableError> SlotTable::withoutRetired(const std::set<BackendServerId> &retired,
                                                            const std::vector<BackendServerId> &remaining,
                                                            const OperationId &operation) const
{
    std::map<BackendServerId, std::size_t> counts;
    for (const BackendServerId &owner : remaining) {
        if (!retired.contains(owner)) {
            counts[owner] = slotsOwnedBy(owner).count();
        }
    }
    if (counts.empty()) {
        return failure(errorAt(SlotTableErrorCode::NoOwner, ""));
    }
    SlotTable table = *this;
    table.setOperation(operation);
    for (std::size_t slot = 0; slot < slotCount; ++slot) {
        if (retired.contains(m_entries[slot].owner)) {
            const auto fewest = std::min_element(counts.begin(), counts.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
            table.assign(static_cast<SlotNumber>(slot), fewest->first, SlotEntryState::Assigned, operation);
            ++fewest->second;
        }
    }
    return table;
}

} // namespace Cardamomhill

#pragma once

#include "core/result.h"
#include "execution/slotentry.h"
#include "execution/slotnumber.h"
#include "execution/slottableerror.h"

#include <array>
#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Cardamomhill
{

/// The owners of all slots of one service: the value of the platform object `slots/<service>`.
class SlotTable
{
public:
    /// An initial table that divides the slots evenly among the owners; no slot is claimed yet.
    static Result<SlotTable, SlotTableError> create(const std::vector<BackendServerId> &owners,
                                                    const OperationId &operation);

    /// Reads the value of the platform object. Unknown fields are an error, since rewriting the table would lose them.
    static Result<SlotTable, SlotTableError> fromJson(const nlohmann::json &value, std::uint64_t version);

    /// The same for the text of that value.
    static Result<SlotTable, SlotTableError> fromText(std::string_view text, std::uint64_t version);

    /// Reads a copy that processes exchange. It lacks the fields `operation` and `previousOperations`, which only
    /// writers need, and it has no version, so it is never the base of a write.
    static Result<SlotTable, SlotTableError> fromExchangedJson(std::string_view json);

    /// The value for the platform object. Each owner and operation is listed once and the rows refer to it by its
    /// index, so that the value has at most 20 KB for names of 19 bytes.
    nlohmann::json toJson() const;

    /// The version of the platform object, and the condition of the next write; 0 if it was never written.
    std::uint64_t version() const
    {
        return m_version;
    }

    void setVersion(std::uint64_t version)
    {
        m_version = version;
    }

    const SlotEntry &entry(SlotNumber slot) const
    {
        return m_entries[slot];
    }

    /// Replaces a row and increments its generation.
    void assign(SlotNumber slot, const BackendServerId &owner, SlotEntryState state, const OperationId &operation);

    /// Sets the operation id of the whole table; the previous id moves to the history of the last 8.
    void setOperation(const OperationId &operation);

    const OperationId &operation() const
    {
        return m_operation;
    }

    const std::vector<OperationId> &previousOperations() const
    {
        return m_previousOperations;
    }

    SlotSet slotsOwnedBy(const BackendServerId &owner) const;

    /// The table without retired backend servers: each of their slots goes to the remaining owner that has the fewest.
    /// The caller must make sure that the hosts of the retired servers are stopped.
    Result<SlotTable, SlotTableError> withoutRetired(const std::set<BackendServerId> &retired,
                                                     const std::vector<BackendServerId> &remaining,
                                                     const OperationId &operation) const;

private:
    std::uint64_t m_version = 0;
    std::array<SlotEntry, slotCount> m_entries;
    OperationId m_operation;
    std::vector<OperationId> m_previousOperations;
};

} // namespace Cardamomhill

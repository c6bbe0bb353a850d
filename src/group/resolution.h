#pragma once

#include "core/nametable.h"
#include "group/proposal.h"

namespace Cardamomhill
{

enum class SwitchOutcome : std::uint8_t {
    Abort,
    Commit,
};

constexpr auto nameTable(SwitchOutcome)
{
    return std::to_array<NamedValue<SwitchOutcome>>({
        {SwitchOutcome::Abort, "abort"},
        {SwitchOutcome::Commit, "commit"},
    });
}

} // namespace Cardamomhill

MSGPACK_ADD_ENUM(Cardamomhill::SwitchOutcome)

namespace Cardamomhill
{

/// The final outcome of a proposal.
struct Resolution {
    Proposal proposal;
    SwitchOutcome outcome = SwitchOutcome::Abort;

    bool operator==(const Resolution &) const = default;

    MSGPACK_DEFINE_ARRAY(proposal, outcome)
};

} // namespace Cardamomhill

#pragma once

#include "group/ballot.h"
#include "group/expertmapid.h"

namespace Cardamomhill
{

/// A proposed switch: from the given step on, all ranks use the map. Its ballot identifies it.
struct Proposal {
    Ballot ballot;
    ExpertMapId map;
    std::uint64_t step = 0;

    bool operator==(const Proposal &) const = default;

    MSGPACK_DEFINE_ARRAY(ballot, map, step)
};

} // namespace Cardamomhill

#pragma once

#include "group/ballot.h"
#include "group/expertmapid.h"

namespace Cardamomhill
{

/// A proposed switch, identified by its ballot: all ranks use the map from the given step on.
struct Proposal {
    Ballot ballot;
    ExpertMapId map;
    std::uint64_t step = 0;

    bool operator==(const Proposal &) const = default;

    MSGPACK_DEFINE_ARRAY(ballot, map, step)
};

} // namespace Cardamomhill

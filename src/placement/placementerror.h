#pragma once

#include "core/nametable.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// What is wrong with an input.
enum class PlacementErrorCode : std::uint8_t {
    WrongShape,
    UnknownRank,
    ExpertWithoutReplica,
    ReplicaExists,
    ReplicaMissing,
    InvalidWeights,
    InvalidLimits,
};

constexpr auto nameTable(PlacementErrorCode)
{
    return std::to_array<NamedValue<PlacementErrorCode>>({
        {PlacementErrorCode::WrongShape, "wrong-shape"},
        {PlacementErrorCode::UnknownRank, "unknown-rank"},
        {PlacementErrorCode::ExpertWithoutReplica, "expert-without-replica"},
        {PlacementErrorCode::ReplicaExists, "replica-exists"},
        {PlacementErrorCode::ReplicaMissing, "replica-missing"},
        {PlacementErrorCode::InvalidWeights, "invalid-weights"},
        {PlacementErrorCode::InvalidLimits, "invalid-limits"},
    });
}

/// An invalid input. Functions that return this error have changed nothing.
struct PlacementError {
    PlacementErrorCode code = PlacementErrorCode::WrongShape;
    std::size_t layer = 0;
    std::size_t expert = 0;
    std::size_t rank = 0;

    std::string message() const;
};

} // namespace Cardamomhill

#pragma once

#include "coordinator/enginereaderror.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "net/httpexchange.h"
#include "placement/groupshape.h"
#include "rebalance/orderanswer.h"
#include "rebalance/rankorder.h"
#include "rebalance/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cardamomhill
{

/// Number of times that requests at one rank selected each expert since the rank started.
struct ExpertCounts {
    std::uint64_t epoch = 0;
    /// The last step that has begun. Not delayed, unlike that of a RankState.
    std::uint64_t step = 0;
    /// One for each (layer, expert), layer by layer.
    std::vector<std::uint64_t> counts;
};

/// The experts that one rank holds.
struct HeldExperts {
    std::uint64_t epoch = 0;
    std::uint64_t mapVersion = 0;
    /// Indexed by layer.
    std::vector<std::vector<ExpertIndex>> experts;
};

/// Encodes orders to engines and decodes their reports. Contains no coordination logic.
class EngineCodec
{
public:
    virtual ~EngineCodec() = default;

    /// Encodes a map for use in orders. The same encoding is sent to all ranks.
    virtual std::string encodeMap(const ExpertMap &map) const = 0;
    /// @param encodedMap result of encodeMap() for the map of a PrepareMap order; not used by other orders
    virtual HttpRequest
    makeOrderRequest(const RankOrder &order, const BackendServerId &server, std::string_view encodedMap) const = 0;
    virtual OrderAnswer parseOrderAnswer(unsigned status) const = 0;

    virtual HttpRequest makeStateRequest() const = 0;
    virtual Result<RankState, EngineReadError> parseState(const std::string &body) const = 0;

    virtual HttpRequest makeCountsRequest() const = 0;
    virtual Result<ExpertCounts, EngineReadError> parseCounts(const std::string &body) const = 0;

    virtual HttpRequest makeHeldExpertsRequest() const = 0;
    virtual Result<HeldExperts, EngineReadError> parseHeldExperts(const std::string &body) const = 0;
};

} // namespace Cardamomhill

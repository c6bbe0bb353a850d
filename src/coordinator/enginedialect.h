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

/// How often the requests of one rank chose each expert since the rank started.
struct ExpertCounts {
    std::uint64_t epoch = 0;
    /// By (layer, expert), layer by layer.
    std::vector<std::uint64_t> counts;
};

/// The experts that one rank holds.
struct HeldExperts {
    std::uint64_t epoch = 0;
    std::uint64_t mapVersion = 0;
    /// By layer.
    std::vector<std::vector<ExpertIndex>> experts;
};

/// How engines spell reports and orders. Decides nothing.
class EngineDialect
{
public:
    virtual ~EngineDialect() = default;

    /// A map as orders contain it. All ranks are sent the same one.
    virtual std::string encodeMap(const ExpertMap &map) const = 0;
    /// @param encodedMap what encodeMap() returned for the map of an order to copy it; not used by other orders
    virtual HttpRequest
    orderCall(const RankOrder &order, const BackendServerId &server, std::string_view encodedMap) const = 0;
    virtual OrderAnswer readOrderAnswer(unsigned status) const = 0;

    virtual HttpRequest stateCall() const = 0;
    virtual Result<RankState, EngineReadError> readState(const std::string &body) const = 0;

    virtual HttpRequest countsCall() const = 0;
    virtual Result<ExpertCounts, EngineReadError> readCounts(const std::string &body) const = 0;

    virtual HttpRequest heldExpertsCall() const = 0;
    virtual Result<HeldExperts, EngineReadError> readHeldExperts(const std::string &body) const = 0;
};

} // namespace Cardamomhill

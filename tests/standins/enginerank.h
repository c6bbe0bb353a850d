#pragma once

#include "core/clocktypes.h"
#include "net/httpserver.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cardamomhill
{

struct EngineStream;

/// One rank of an EngineGroup.
struct EngineRank {
    /// The experts of a map: by layer, then by rank.
    using Experts = std::vector<std::vector<std::set<int>>>;

    struct Map {
        std::uint64_t version = 0;
        Experts experts;
    };

    struct Armed {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
    };

    std::unique_ptr<HttpServer> server;
    std::string address;
    Map map;
    std::optional<Map> prepared;
    SteadyTime copiedAt{};
    std::uint64_t highestVersion = 0;
    std::uint64_t highestToken = 0;
    std::optional<Armed> armed;
    std::optional<std::uint64_t> heldStep;
    /// How often each expert was chosen since the rank started.
    std::vector<std::uint64_t> counts;
    std::list<EngineStream *> running;
    std::list<EngineStream *> waiting;
};

} // namespace Cardamomhill

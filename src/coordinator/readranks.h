#pragma once

#include "coordinator/engineclient.h"
#include "net/spawn.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// Member function of EngineClient that reads a report of one rank.
template<class Value>
using RankReader = Task<Result<Value, EngineReadError>> (EngineClient::*)();

namespace internal
{

/// More concurrent reads would delay callers on a small host.
constexpr std::size_t MaxConcurrentReads = 12;

template<class Value>
struct RankReadings {
    RankReadings(asio::io_context &context, std::vector<std::shared_ptr<EngineClient>> rankClients)
        : clients(std::move(rankClients))
        , values(clients.size())
        , finished(context, asio::steady_timer::time_point::max())
    {
    }

    std::vector<std::shared_ptr<EngineClient>> clients;
    std::vector<std::optional<Value>> values;
    asio::steady_timer finished;
    std::size_t next = 0;
    std::size_t activeReaders = 0;
};

template<class Value>
Task<> readNextRanks(std::shared_ptr<RankReadings<Value>> readings, RankReader<Value> read)
{
    while (readings->next < readings->clients.size()) {
        const auto rank = readings->next++;
        auto value = co_await ((*readings->clients[rank]).*read)();
        if (value.has_value()) {
            readings->values[rank] = std::move(value.value());
        }
    }
    if (--readings->activeReaders == 0) {
        readings->finished.cancel();
    }
}

} // namespace internal

/// Reads all ranks, several concurrently. The result has no value for a rank that could not be read.
template<class Value>
Task<std::vector<std::optional<Value>>>
readRanks(asio::io_context &context, std::vector<std::shared_ptr<EngineClient>> clients, RankReader<Value> read)
{
    auto readings = std::make_shared<internal::RankReadings<Value>>(context, std::move(clients));
    readings->activeReaders = std::min(internal::MaxConcurrentReads, readings->clients.size());
    for (std::size_t reader = 0; reader < readings->activeReaders; ++reader) {
        spawn(context.get_executor(), "read-ranks", internal::readNextRanks<Value>(readings, read));
    }
    if (readings->activeReaders > 0) {
        SystemError error;
        co_await readings->finished.async_wait(storeError(error));
    }
    co_return std::move(readings->values);
}

} // namespace Cardamomhill

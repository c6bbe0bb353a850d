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
struct ConcurrentRankRead {
    ConcurrentRankRead(asio::io_context &context, std::vector<std::shared_ptr<EngineClient>> rankClients)
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
Task<> readNextRanks(std::shared_ptr<ConcurrentRankRead<Value>> concurrentRead, RankReader<Value> read)
{
    while (concurrentRead->next < concurrentRead->clients.size()) {
        const auto rank = concurrentRead->next++;
        auto value = co_await ((*concurrentRead->clients[rank]).*read)();
        if (value.has_value()) {
            concurrentRead->values[rank] = std::move(value.value());
        }
    }
    if (--concurrentRead->activeReaders == 0) {
        concurrentRead->finished.cancel();
    }
}

} // namespace internal

/// Reads all ranks, several concurrently. The result has no value for a rank that could not be read.
template<class Value>
Task<std::vector<std::optional<Value>>>
readRanks(asio::io_context &context, std::vector<std::shared_ptr<EngineClient>> clients, RankReader<Value> read)
{
    auto concurrentRead = std::make_shared<internal::ConcurrentRankRead<Value>>(context, std::move(clients));
    concurrentRead->activeReaders = std::min(internal::MaxConcurrentReads, concurrentRead->clients.size());
    for (std::size_t reader = 0; reader < concurrentRead->activeReaders; ++reader) {
        spawn(context.get_executor(), "read-ranks", internal::readNextRanks<Value>(concurrentRead, read));
    }
    if (concurrentRead->activeReaders > 0) {
        SystemError error;
        co_await concurrentRead->finished.async_wait(storeError(error));
    }
    co_return std::move(concurrentRead->values);
}

} // namespace Cardamomhill

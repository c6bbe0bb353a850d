#pragma once

#include "coordinator/enginedialect.h"
#include "core/identifiers.h"
#include "net/asio.h"
#include "net/httpclient.h"

#include <memory>

namespace Cardamomhill
{

/// HTTP client for the engine of one rank.
class EngineClient
{
public:
    EngineClient(asio::io_context &context,
                 const tcp::endpoint &endpoint,
                 BackendServerId server,
                 const EngineDialect &dialect);

    /// @param encodedMap see EngineDialect::orderCall(); may be null for orders without a map
    Task<OrderAnswer> send(RankOrder order, std::shared_ptr<const std::string> encodedMap);
    Task<Result<RankState, EngineReadError>> readState();
    Task<Result<ExpertCounts, EngineReadError>> readCounts();
    Task<Result<HeldExperts, EngineReadError>> readHeldExperts();

private:
    template<class Value>
    using Decoder = Result<Value, EngineReadError> (EngineDialect::*)(const std::string &body) const;

    template<class Value>
    Task<Result<Value, EngineReadError>> read(HttpRequest request, Decoder<Value> decode);

    HttpClient m_client;
    BackendServerId m_server;
    const EngineDialect &m_dialect;
};

} // namespace Cardamomhill

#pragma once

#include "coordinator/enginecodec.h"
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
                 const EngineCodec &codec);

    /// @param encodedMap see EngineCodec::makeOrderRequest(); may be null for orders without a map
    Task<OrderAnswer> send(RankOrder order, std::shared_ptr<const std::string> encodedMap);
    Task<Result<RankState, EngineReadError>> readState();
    Task<Result<ExpertCounts, EngineReadError>> readCounts();
    Task<Result<HeldExperts, EngineReadError>> readHeldExperts();

private:
    template<class Value>
    using Decoder = Result<Value, EngineReadError> (EngineCodec::*)(const std::string &body) const;

    template<class Value>
    Task<Result<Value, EngineReadError>> read(HttpRequest request, Decoder<Value> decode);

    HttpClient m_orders;
    HttpClient m_reports;
    BackendServerId m_server;
    const EngineCodec &m_codec;
};

} // namespace Cardamomhill

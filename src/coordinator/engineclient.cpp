#include "coordinator/engineclient.h"

namespace Cardamomhill
{

namespace
{

/// Additional time to send a map: a constant, since maps are sent to several ranks concurrently, and a part for its
/// size at the minimum rate assumed for links of engines.
constexpr Milliseconds MapBurstTime{50};
constexpr std::size_t MinLinkBytesPerMillisecond = 250;
/// As long as for orders: until all ranks have been read, what an earlier coordinator left stays as it is.
constexpr Milliseconds ReadTimeout{1000};
/// Enough for the counters of 100,000 experts.
constexpr std::size_t MaxResponseBytes = 1024 * 1024;
constexpr unsigned StatusOk = 200;

} // namespace

EngineClient::EngineClient(asio::io_context &context,
                           const tcp::endpoint &endpoint,
                           BackendServerId server,
                           const EngineCodec &codec)
    : m_orders(context, endpoint, MaxResponseBytes, ConnectionUse::Own)
    , m_reports(context, endpoint, MaxResponseBytes)
    , m_server(std::move(server))
    , m_codec(codec)
{
}

Task<OrderAnswer> EngineClient::send(RankOrder order, std::shared_ptr<const std::string> encodedMap)
{
    const auto answerLimit = order.answerLimit;
    const bool hasMap = std::holds_alternative<PrepareMap>(order.action) && encodedMap;
    auto request
        = m_codec.makeOrderRequest(order, m_server, hasMap ? std::string_view(*encodedMap) : std::string_view());
    const auto mapTransferTime
        = hasMap ? MapBurstTime + Milliseconds(encodedMap->size() / MinLinkBytesPerMillisecond) : Milliseconds(0);
    const auto response = co_await m_orders.call(std::move(request), answerLimit + mapTransferTime);
    if (response.has_error()) {
        co_return OrderAnswer::NoAnswer;
    }
    co_return m_codec.parseOrderAnswer(response.value().status);
}

Task<Result<RankState, EngineReadError>> EngineClient::readState()
{
    return read(m_codec.makeStateRequest(), &EngineCodec::parseState);
}

Task<Result<ExpertCounts, EngineReadError>> EngineClient::readCounts()
{
    return read(m_codec.makeCountsRequest(), &EngineCodec::parseCounts);
}

Task<Result<HeldExperts, EngineReadError>> EngineClient::readHeldExperts()
{
    return read(m_codec.makeHeldExpertsRequest(), &EngineCodec::parseHeldExperts);
}

template<class Value>
Task<Result<Value, EngineReadError>> EngineClient::read(HttpRequest request, Decoder<Value> decode)
{
    const auto response = co_await m_reports.call(std::move(request), ReadTimeout);
    if (response.has_error()) {
        co_return failure(EngineReadError{EngineReadErrorCode::Unreachable, response.error().error.message()});
    }
    if (response.value().status != StatusOk) {
        co_return failure(
            EngineReadError{EngineReadErrorCode::Refused, "status " + std::to_string(response.value().status)});
    }
    co_return (m_codec.*decode)(response.value().body);
}

} // namespace Cardamomhill

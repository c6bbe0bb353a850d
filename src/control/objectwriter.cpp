#include "control/objectwriter.h"

#include "control/platformclient.h"
#include "net/steadynow.h"
#include "objectstore/conditionalwriter.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace Cardamomhill
{

namespace
{

Task<> sendPut(PlatformClient &client, ConditionalWriter &writer, const PutRequest &request, Random &random)
{
    const auto written = co_await client.write(request.key, request.expectedVersion, request.value);
    if (written.has_value()) {
        writer.onWritten(written.value().version);
        co_return;
    }
    switch (written.error().code) {
    case PlatformCallErrorCode::Conflict:
        writer.onConflictWithoutObject(request.attempt, steadyNow());
        break;
    case PlatformCallErrorCode::NotSent:
        writer.onNotExecuted(request.attempt, steadyNow(), random);
        break;
    default:
        writer.onResponseLost(request.attempt, steadyNow(), random);
        break;
    }
}

Task<> sendGet(PlatformClient &client, ConditionalWriter &writer, const GetRequest &request, Random &random)
{
    const auto object = co_await client.read(request.key);
    if (object.has_value()) {
        writer.onRead(request.attempt, object.value(), steadyNow(), random);
    } else if (object.error().code == PlatformCallErrorCode::NotFound) {
        writer.onRead(request.attempt, std::nullopt, steadyNow(), random);
    } else {
        writer.onNotExecuted(request.attempt, steadyNow(), random);
    }
}

} // namespace

Task<Result<WriteOutcome, PlatformError>>
writeObject(PlatformClient &client, ConditionalChange change, SteadyTime deadline, Random &random)
{
    auto created = ConditionalWriter::create(std::move(change), deadline);
    if (created.has_error()) {
        co_return failure(created.error());
    }
    auto &writer = created.value();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!writer.outcome()) {
        const auto request = writer.nextRequest(steadyNow(), random);
        if (!request) {
            SystemError ignored;
            timer.expires_at(std::min(writer.nextWakeUp(), deadline));
            co_await timer.async_wait(storeError(ignored));
        } else if (const auto *put = std::get_if<PutRequest>(&*request)) {
            co_await sendPut(client, writer, *put, random);
        } else {
            co_await sendGet(client, writer, std::get<GetRequest>(*request), random);
        }
    }
    co_return *writer.outcome();
}

} // namespace Cardamomhill

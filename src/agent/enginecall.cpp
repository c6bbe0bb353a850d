#include "agent/enginecall.h"

#include "agent/attemptstream.h"
#include "agent/enginerequest.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds ConnectTimeout{1000};

AttemptReason reasonOf(const NetError &error)
{
    return error.code == NetErrorCode::TimedOut ? AttemptReason::TimedOut : AttemptReason::EngineFailed;
}

} // namespace

EngineCall::EngineCall(asio::io_context &context,
                       tcp::endpoint engine,
                       Execute execute,
                       std::shared_ptr<AttemptStream> stream)
    : m_engine(std::move(engine))
    , m_execute(std::move(execute))
    , m_stream(std::move(stream))
    , m_call(context)
{
    m_stream->onCancel([this] { m_call.cancel(); });
}

Task<> EngineCall::run()
{
    const bool hasBegun = co_await begin();
    if (hasBegun) {
        co_await relayBody();
    }
    m_stream->onCancel(nullptr);
    m_call.cancel();
}

Task<bool> EngineCall::begin()
{
    const auto connected = co_await m_call.connect(m_engine, std::min(m_stream->remaining(), ConnectTimeout));
    if (connected.has_error()) {
        m_stream->end(AttemptOutcome::NotRun, AttemptReason::EngineUnreachable);
        co_return false;
    }
    const auto started = co_await m_call.start(engineRequest(m_execute), m_stream->remaining());
    if (started.has_error()) {
        m_stream->end(AttemptOutcome::Unknown, reasonOf(started.error()));
        co_return false;
    }
    m_stream->sendHead({static_cast<std::uint16_t>(m_call.status()), m_call.contentType(), false});
    co_return true;
}

Task<> EngineCall::relayBody()
{
    bool hasRoom = co_await m_stream->waitForRoom();
    while (hasRoom) {
        auto piece = co_await m_call.readSome(m_stream->remaining());
        if (piece.has_error()) {
            m_stream->fail(reasonOf(piece.error()));
            co_return;
        }
        if (!piece.value()) {
            m_stream->finish();
            co_return;
        }
        m_stream->sendData(std::move(*piece.value()));
        hasRoom = co_await m_stream->waitForRoom();
    }
}

} // namespace Cardamomhill

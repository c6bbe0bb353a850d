#include "agent/enginecall.h"

#include "agent/attemptstream.h"
#include "agent/engineconnections.h"
#include "agent/enginerequest.h"
#include "net/httpclientconnection.h"

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

EngineCall::EngineCall(EngineConnections &connections, Execute execute, std::shared_ptr<AttemptStream> stream)
    : m_connections(connections)
    , m_execute(std::move(execute))
    , m_stream(std::move(stream))
{
    m_stream->onCancel([this] {
        if (m_connection) {
            m_connection->cancel();
        }
    });
}

EngineCall::~EngineCall() = default;

Task<> EngineCall::run()
{
    const bool hasBegun = co_await begin();
    if (hasBegun) {
        co_await relayBody();
    }
    m_stream->onCancel(nullptr);
    if (m_stream->state() == AttemptState::Completed) {
        m_connections.returnConnection(std::move(m_connection));
    }
}

Task<bool> EngineCall::begin()
{
    bool isStarted = co_await tryIdleConnection();
    if (!isStarted && m_stream->state() == AttemptState::Running) {
        isStarted = co_await connect();
    }
    if (isStarted) {
        m_stream->sendHead({static_cast<std::uint16_t>(m_connection->status()), m_connection->contentType(), false});
    }
    co_return isStarted;
}

Task<bool> EngineCall::tryIdleConnection()
{
    m_connection = m_connections.takeIdleConnection();
    if (!m_connection) {
        co_return false;
    }
    // The engine may close an idle connection at any time. The call is idempotent, so it is repeated on a new
    // connection; after a timeout, no time remains for that.
    const auto started = co_await m_connection->start(engineRequest(m_execute), m_stream->remaining());
    co_return started.has_value();
}

Task<bool> EngineCall::connect()
{
    m_connection = std::make_unique<HttpClientConnection>(m_connections.context());
    const auto timeout = std::min(m_stream->remaining(), ConnectTimeout);
    const auto connected = co_await m_connection->connect(m_connections.engine(), timeout);
    if (connected.has_error()) {
        m_stream->endWithoutAnswer(AttemptOutcome::NotRun, AttemptReason::EngineUnreachable);
        co_return false;
    }
    const auto started = co_await m_connection->start(engineRequest(m_execute), m_stream->remaining());
    if (started.has_error()) {
        m_stream->endWithoutAnswer(AttemptOutcome::Unknown, reasonOf(started.error()));
        co_return false;
    }
    co_return true;
}

Task<> EngineCall::relayBody()
{
    bool hasRoom = co_await m_stream->waitForRoom();
    while (hasRoom) {
        auto piece = co_await m_connection->readSome(m_stream->remaining());
        if (piece.has_error()) {
            m_stream->failAnswer(reasonOf(piece.error()));
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

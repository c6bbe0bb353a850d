#pragma once

#include "net/asio.h"
#include "wire/execute.h"

#include <memory>

namespace Cardamomhill
{

class AttemptStream;
class EngineConnections;
class HttpCall;

/// Relays the answer of the backend server on this host to one idempotent attempt, piece by piece.
class EngineCall
{
public:
    EngineCall(EngineConnections &connections, Execute execute, std::shared_ptr<AttemptStream> stream);
    ~EngineCall();

    Task<> run();

private:
    Task<bool> begin();
    Task<bool> tryIdleConnection();
    Task<bool> connect();
    Task<> relayBody();

    EngineConnections &m_connections;
    Execute m_execute;
    std::shared_ptr<AttemptStream> m_stream;
    std::unique_ptr<HttpCall> m_call;
};

} // namespace Cardamomhill

#pragma once

#include "net/asio.h"
#include "wire/execute.h"

#include <memory>

namespace Cardamomhill
{

class AttemptStream;
class EngineConnections;
class HttpClientConnection;

/// Sends one idempotent attempt to the backend server on this host and streams the answer to the entry process.
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
    std::unique_ptr<HttpClientConnection> m_connection;
};

} // namespace Cardamomhill

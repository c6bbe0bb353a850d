#pragma once

#include "net/asio.h"
#include "net/httpcall.h"
#include "wire/execute.h"

#include <memory>

namespace Cardamomhill
{

class AttemptStream;

/// Relays the answer of the backend server on this host to one idempotent attempt, piece by piece.
class EngineCall
{
public:
    EngineCall(asio::io_context &context, tcp::endpoint engine, Execute execute, std::shared_ptr<AttemptStream> stream);

    Task<> run();

private:
    Task<bool> begin();
    Task<> relayBody();

    tcp::endpoint m_engine;
    Execute m_execute;
    std::shared_ptr<AttemptStream> m_stream;
    HttpCall m_call;
};

} // namespace Cardamomhill

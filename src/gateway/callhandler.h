#pragma once

#include "entry/problem.h"
#include "gateway/callstate.h"
#include "net/asio.h"
#include "traffic/serverchoice.h"

#include <optional>
#include <string_view>

namespace Cardamomhill
{

class Attempt;
class GatewayThread;
class HttpExchange;

/// Serves one call: finds its route and organisation, sends it to a backend server, repeats what may be repeated, and
/// gives the caller one definite answer.
class CallHandler
{
public:
    CallHandler(GatewayThread &thread, HttpExchange &exchange);

    Task<> run();

private:
    std::optional<Problem> prepare();
    Task<> serve();
    Task<AttemptEnd> attempt(const ServerChoice &choice);
    bool decideRetry(AttemptEnd end);
    Task<> answerWithoutServer(const ServerChoice &choice);
    Task<> answerFailure();
    Task<> refuse(Problem problem);
    void finish(std::string_view outcome);
    Milliseconds left() const;

    GatewayThread &m_thread;
    HttpExchange &m_exchange;
    CallState m_state;
    Attempt *m_attempt = nullptr;
};

} // namespace Cardamomhill

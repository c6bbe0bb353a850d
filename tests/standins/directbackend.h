#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpexchange.h"
#include "net/neterror.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Cardamomhill
{

/// A stand-in for a backend server of the users' platform. The last part of the path says how it answers: `ok`, `shed`,
/// `error`, `truncated`, `unsigned`, `silent`, `extra`, `misdirected`, `endless`, `stream`, `broken-stream`,
/// `slow`, `unnamed` (names no call), `endless-head`, `endless-foreign` (the body of an answer to another call),
/// `endless-event`, `trickle` (single bytes that make no event). A server whose id does not begin with `bad` answers
/// all of them well. A call for another instance gets 421. It writes answers byte by byte itself, so that it can break
/// the protocol. GET /runs/ID says how often a call ran here, GET /abandoned how many callers left.
class DirectBackend
{
public:
    /// Told of each call that runs here.
    using RunObserver = std::function<void(const HttpRequest &)>;

    DirectBackend(asio::io_context &context, std::string id, RunObserver onRun = {});

    Result<void, NetError> listen(const tcp::endpoint &endpoint);
    tcp::endpoint endpoint() const;

    /// Ends like a process that is killed. The object has to outlive the context's work.
    void stop();

private:
    struct Connection;

    Task<> acceptLoop();
    Task<> serve(std::shared_ptr<Connection> connection);
    /// Returns whether the connection stays open.
    Task<bool> answer(Connection &connection, const HttpRequest &request);
    Task<bool> answerWell(Connection &connection, const HttpRequest &request, bool twice);
    Task<bool> stream(Connection &connection, const HttpRequest &request, bool breaks);
    /// Writes the text again and again until the caller closes.
    Task<bool> writeWithoutEnd(Connection &connection, const std::string &text, Milliseconds pause);
    Task<bool> answerWithoutEnd(Connection &connection, const HttpRequest &request, const std::string &manner);
    Task<bool> write(Connection &connection, std::string text);
    void countRun(const HttpRequest &request);
    std::string head(const HttpRequest &request, unsigned status, const std::string &headers) const;
    std::string description(const HttpRequest &request) const;

    asio::io_context &m_context;
    std::string m_id;
    RunObserver m_onRun;
    tcp::acceptor m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_abandoned = 0;
};

} // namespace Cardamomhill

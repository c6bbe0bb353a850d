#pragma once

#include "core/random.h"
#include "net/asio.h"
#include "net/httpclientconnection.h"
#include "soak/ledger.h"
#include "soak/stopcall.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill
{

struct StopHost;

/// A caller that sends one call at a time, short and long ones, and uses its connections until the process at the other
/// end closes them. It checks the content of the answers.
class StopCaller
{
public:
    using Calls = std::map<std::string, StopCall>;

    /// @param hosts the hosts that it calls, by number
    StopCaller(asio::io_context &context,
               std::string name,
               std::uint64_t seed,
               std::map<std::size_t, StopHost *> hosts,
               Ledger &ledger,
               Calls &calls);

    /// Has servers pause before the last event of some streams.
    void addPauses();

    /// Sends mostly streams, with the time limits of users of model engines.
    void useEngineGroups();

    Task<> run(SteadyTime until);

    bool hasEnded() const;

private:
    struct KeptConnection {
        std::unique_ptr<HttpClientConnection> connection;
        std::size_t process = 0;
    };

    Task<> sendRandomCall();
    Task<KeptConnection> connect(StopHost &host);
    /// Chooses the kind of the call and its length, sets both in the record, and returns the request.
    HttpRequest makeRandomRequest(const std::string &id, StopCall &call);
    Task<std::string> exchange(HttpClientConnection &connection, HttpRequest request, const std::string &id);
    void checkBody(const std::string &id, const HttpRequest &request, const std::string &body);
    void addPause(HttpRequest &request);
    HttpRequest makeEngineRequest(StopCall &call);
    std::int64_t randomUpTo(std::int64_t largest);

    asio::io_context &m_context;
    std::string m_name;
    Random m_random;
    /// Draws the pauses, if there are any, so that the other choices of a seed do not depend on them.
    std::optional<Random> m_pauseRandom;
    bool m_usesEngineGroups = false;
    std::map<std::size_t, StopHost *> m_hosts;
    Ledger &m_ledger;
    Calls &m_calls;
    std::map<std::size_t, KeptConnection> m_connections;
    std::size_t m_sentCount = 0;
    bool m_hasEnded = false;
};

} // namespace Cardamomhill

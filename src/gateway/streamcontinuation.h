#pragma once

#include "gateway/attempt.h"
#include "net/asio.h"
#include "net/notification.h"
#include "traffic/attemptend.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Cardamomhill
{

class GatewayThread;
class HttpExchange;
struct CallState;

/// Has a begun stream continued at another server while the silent one may still go on with it. The first that has an
/// event delivers from then on. Giving the silent server up before would cut the stream if no other server took it.
class StreamContinuation
{
public:
    /// An attempt beside another one.
    struct Run {
        Run(GatewayThread &thread, HttpExchange &exchange, CallState &state, BackendServerId server);

        /// Waits until the attempt has ended.
        Task<AttemptEnd> finish();

        Attempt attempt;
        std::optional<AttemptEnd> end;
        Notification ended;
    };

    StreamContinuation(GatewayThread &thread, HttpExchange &exchange, CallState &state);

    /// Begins an attempt, unless one runs or the route, the time left, the retry budget or the servers allow none.
    /// @param silent the attempt that delivers; it is cancelled when the new one goes on with the stream
    /// @param cause why the stream should be continued elsewhere
    void begin(Attempt &silent, std::string_view cause);

    /// Notes that the attempt that delivered has ended.
    void silentAttemptEnded();

    /// Cancels the attempt in progress, if there is one.
    void cancel(std::string_view cause);

    /// Cancels the silent attempt, since the other one delivers.
    void takeOver();

    /// Returns the attempt in progress and forgets it, or null if there is none.
    std::shared_ptr<Run> release();

private:
    bool isAllowed() const;
    Task<> run(std::shared_ptr<Run> run);

    GatewayThread &m_thread;
    HttpExchange &m_exchange;
    CallState &m_state;
    Attempt *m_silent = nullptr;
    std::shared_ptr<Run> m_run;
};

} // namespace Cardamomhill

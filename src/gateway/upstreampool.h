#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/answerhead.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

class HttpCall;

/// Connections to backend servers that are kept open between calls.
class UpstreamPool
{
public:
    UpstreamPool();
    ~UpstreamPool();

    /// A kept connection to a server on which nothing has arrived since its last answer, or nothing.
    std::unique_ptr<HttpCall> take(const BackendServerId &server, SteadyTime now);

    /// Keeps a connection after a whole answer.
    /// @param serverKeeps how long the server keeps it, if it said so
    void give(const BackendServerId &server,
              std::unique_ptr<HttpCall> call,
              std::optional<Seconds> serverKeeps,
              SteadyTime now);

    void closeAll(const BackendServerId &server);

    std::size_t size() const;

    /// Closes connections that were idle for too long.
    void tick(SteadyTime now);

private:
    struct Kept {
        std::unique_ptr<HttpCall> call;
        SteadyTime usableUntil;
    };

    std::unordered_map<BackendServerId, std::vector<Kept>> m_kept;
};

} // namespace Cardamomhill

#pragma once

#include "control/platformcallerror.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpclient.h"
#include "platform/platformobject.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Calls to the platform's object API over HTTP. One call at a time.
class PlatformClient
{
public:
    /// Objects together with the revision of the whole store at which they were read.
    struct Objects {
        std::uint64_t revision = 0;
        std::vector<PlatformObject> objects;
    };

    PlatformClient(asio::io_context &context, const tcp::endpoint &endpoint);

    Task<Result<PlatformObject, PlatformCallError>> read(ObjectKey key);

    /// All objects of a kind, or of every kind when it is empty.
    Task<Result<Objects, PlatformCallError>> list(std::string kind);

    /// Waits for changes after a revision; returns none when the time is up.
    Task<Result<Objects, PlatformCallError>> watch(std::uint64_t since, Milliseconds timeout);

    /// Writes a JSON value if the object still has the given version; 0 means that it must not exist.
    Task<Result<PlatformObject, PlatformCallError>>
    write(ObjectKey key, std::uint64_t expectedVersion, std::string value);

private:
    Task<Result<std::string, PlatformCallError>> call(HttpRequest request, Milliseconds timeout);

    HttpClient m_client;
};

} // namespace Cardamomhill

#pragma once

#include "control/objectapidialect.h"
#include "control/platformcallerror.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "net/asio.h"
#include "net/httpclient.h"
#include "objectstore/objectpage.h"
#include "objectstore/platformobject.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Cardamomhill
{

/// Calls to the platform's object API over HTTP. One call at a time.
class PlatformClient
{
public:
    /// Longest time for a call that does not wait for changes.
    static constexpr Milliseconds DefaultCallTimeout{5000};

    PlatformClient(asio::io_context &context,
                   const tcp::endpoint &endpoint,
                   std::shared_ptr<const ObjectApiDialect> dialect = ownDialect(),
                   Milliseconds callTimeout = DefaultCallTimeout);

    Task<Result<PlatformObject, PlatformCallError>> read(ObjectKey key);

    /// All objects of a kind, or of every kind when it is empty, with the revision of the first page.
    Task<Result<ObjectPage, PlatformCallError>> list(std::string kind);

    /// Objects of a kind as they were up to some seconds ago, at less cost; only the first page.
    Task<Result<ObjectPage, PlatformCallError>> listStale(std::string kind);

    /// Waits for changes after a revision; returns none when the time is up.
    Task<Result<ObjectPage, PlatformCallError>> watch(std::string kind, std::uint64_t since, Milliseconds wait);

    /// Writes a JSON value if the object still has the given version; 0 means that it must not exist.
    Task<Result<PlatformObject, PlatformCallError>>
    write(ObjectKey key, std::uint64_t expectedVersion, const std::string &value);

    /// Ends the call that is under way, if any, as a failed one.
    void abort();

private:
    static std::shared_ptr<const ObjectApiDialect> ownDialect();
    Task<Result<PlatformObject, PlatformCallError>> callForObject(HttpRequest request, ObjectKey key);
    Task<Result<ObjectPage, PlatformCallError>>
    callForPage(HttpRequest request, std::string kind, Milliseconds timeout);
    Task<Result<std::string, PlatformCallError>> call(HttpRequest request, Milliseconds timeout);

    std::shared_ptr<const ObjectApiDialect> m_dialect;
    Milliseconds m_callTimeout;
    HttpClient m_client;
};

} // namespace Cardamomhill

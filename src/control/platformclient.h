#pragma once

#include "control/objectapicodec.h"
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

/// Calls the platform's object API over HTTP. Allows one call at a time.
class PlatformClient
{
public:
    /// Timeout of a call other than a watch.
    static constexpr Milliseconds DefaultCallTimeout{5000};

    PlatformClient(asio::io_context &context,
                   const tcp::endpoint &endpoint,
                   std::shared_ptr<const ObjectApiCodec> codec = defaultCodec(),
                   Milliseconds callTimeout = DefaultCallTimeout);

    Task<Result<PlatformObject, PlatformCallError>> read(ObjectKey key);

    /// Returns all objects of a kind, or of every kind if it is empty, with the revision of the first page.
    Task<Result<ObjectPage, PlatformCallError>> list(std::string kind);

    /// Returns the first page of the objects of a kind, possibly some seconds out of date. Costs less than list().
    Task<Result<ObjectPage, PlatformCallError>> listStale(std::string kind);

    /// Waits for changes after a revision. Returns an empty page if there are none within the wait time. The store
    /// knows only the revision's number, so a page of another era may lack changes.
    Task<Result<ObjectPage, PlatformCallError>> watch(std::string kind, StoreRevision since, Milliseconds wait);

    /// The same, but may miss the changes of the last seconds. Costs less than watch().
    Task<Result<ObjectPage, PlatformCallError>> watchStale(std::string kind, StoreRevision since, Milliseconds wait);

    /// Writes a JSON value if the object has the given version, or does not exist if that is 0.
    Task<Result<PlatformObject, PlatformCallError>>
    write(ObjectKey key, std::uint64_t expectedVersion, const std::string &value);

    /// Makes the call in progress, if any, fail.
    void abort();

private:
    static std::shared_ptr<const ObjectApiCodec> defaultCodec();
    Task<Result<PlatformObject, PlatformCallError>> callForObject(HttpRequest request, ObjectKey key);
    Task<Result<ObjectPage, PlatformCallError>>
    callForPage(HttpRequest request, std::string kind, Milliseconds timeout);
    Task<Result<HttpResponse, PlatformCallError>> call(HttpRequest request, Milliseconds timeout);

    std::shared_ptr<const ObjectApiCodec> m_codec;
    Milliseconds m_callTimeout;
    HttpClient m_client;
};

} // namespace Cardamomhill

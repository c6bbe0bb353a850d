#pragma once

#include "control/platformcallerror.h"
#include "core/clocktypes.h"
#include "core/result.h"
#include "net/httpexchange.h"
#include "net/httpresponse.h"
#include "objectstore/objectpage.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Encodes requests to the object API of a platform and parses its answers. Only translates: contains no policy.
class ObjectApiCodec
{
public:
    virtual ~ObjectApiCodec() = default;

    virtual HttpRequest makeReadRequest(const ObjectKey &key) const = 0;
    /// A list that is cheaper for the store and may be seconds out of date.
    virtual HttpRequest makeStaleListRequest(const std::string &kind) const = 0;
    /// @param after last object name of the previous page, or empty for the first page
    virtual HttpRequest makeListRequest(const std::string &kind, const std::string &after) const = 0;
    /// @param since revision after which changes are reported
    /// @param wait how long the platform waits for a change
    virtual HttpRequest makeWatchRequest(const std::string &kind, std::uint64_t since, Milliseconds wait) const = 0;
    /// A watch that is cheaper for the store and may miss the changes of the last seconds.
    virtual HttpRequest
    makeStaleWatchRequest(const std::string &kind, std::uint64_t since, Milliseconds wait) const = 0;
    /// @param expectedVersion version that the object must have, or 0 if it must not exist
    virtual HttpRequest
    makeWriteRequest(const ObjectKey &key, std::uint64_t expectedVersion, const std::string &value) const = 0;

    /// The era of the store that an answer states, or 0. Each restoration of the store from a copy begins a new one.
    virtual std::uint64_t eraOf(const HttpResponse &response) const = 0;
    /// The error that an unsuccessful answer represents.
    virtual PlatformCallError errorOf(const HttpResponse &response) const = 0;
    virtual Result<PlatformObject, PlatformCallError> parseObject(const ObjectKey &key,
                                                                  const std::string &body) const = 0;
    virtual Result<ObjectPage, PlatformCallError> parsePage(const std::string &kind, const std::string &body) const = 0;
};

} // namespace Cardamomhill

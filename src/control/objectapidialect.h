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

/// How the object API of a platform spells its calls and answers. Decides nothing.
class ObjectApiDialect
{
public:
    virtual ~ObjectApiDialect() = default;

    virtual HttpRequest readCall(const ObjectKey &key) const = 0;
    /// A list that may be seconds old and costs less.
    virtual HttpRequest staleListCall(const std::string &kind) const = 0;
    /// @param after the last name of the page before, or empty for the first page
    virtual HttpRequest listCall(const std::string &kind, const std::string &after) const = 0;
    virtual HttpRequest watchCall(const std::string &kind, std::uint64_t since, Milliseconds wait) const = 0;
    /// @param expectedVersion version that the object must have; 0 means that it must not exist
    virtual HttpRequest
    writeCall(const ObjectKey &key, std::uint64_t expectedVersion, const std::string &value) const = 0;

    /// The error that an unsuccessful answer stands for.
    virtual PlatformCallError errorOf(const HttpResponse &response) const = 0;
    virtual Result<PlatformObject, PlatformCallError> readObject(const ObjectKey &key,
                                                                 const std::string &body) const = 0;
    virtual Result<ObjectPage, PlatformCallError> readPage(const std::string &kind, const std::string &body) const = 0;
};

} // namespace Cardamomhill

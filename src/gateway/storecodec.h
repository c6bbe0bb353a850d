#pragma once

#include "control/objectapicodec.h"
#include "core/result.h"
#include "gateway/storeparseerror.h"
#include "objectstore/platformobject.h"
#include "traffic/discoveredserver.h"
#include "traffic/trafficconfiguration.h"

#include <memory>
#include <string>

namespace Cardamomhill
{

/// Names the objects of a platform's store that hold the configuration, the server registrations and the evacuations of
/// failure domains, and parses them. Holds no policy.
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    virtual std::shared_ptr<const ObjectApiCodec> objectApi() const = 0;

    virtual std::string configurationKind() const = 0;
    /// The name of the object of configurationKind() that holds the configuration.
    virtual std::string configurationName() const = 0;
    virtual std::string serverKind() const = 0;
    /// The kind with one object for each evacuated failure domain, which has the domain's name.
    virtual std::string evacuationKind() const = 0;

    virtual Result<std::shared_ptr<const TrafficConfiguration>, StoreParseError>
    parseConfiguration(const PlatformObject &object) const = 0;
    virtual Result<DiscoveredServer, StoreParseError> parseServer(const PlatformObject &object) const = 0;
};

} // namespace Cardamomhill

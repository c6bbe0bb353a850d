#pragma once

#include "core/identifier.h"

namespace Cardamomhill
{

using BackendServerId = Identifier<struct BackendServerTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using GroupId = Identifier<struct GroupTag>;
using HostId = Identifier<struct HostTag>;
using OrganisationId = Identifier<struct OrganisationTag>;
using ProfileId = Identifier<struct ProfileTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceId = Identifier<struct ServiceTag>;

} // namespace Cardamomhill

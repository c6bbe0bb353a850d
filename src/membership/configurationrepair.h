#pragma once

#include "membership/forcegate.h"
#include "membership/membershipmessage.h"
#include "objectstore/objectstore.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill::internal
{

/// The full request for what the store lacks.
RepairRequest fullRepairRequest(const ObjectStore &store, DigestScope scope);

/// The answer of a host with this store. Agents that are in service get only what is in force.
ObjectsMessage answerRepair(const ObjectStore &store, const ForceGate &gate, const RepairRequest &request);

ObjectsMessage answerFetch(const ObjectStore &store, const ForceGate &gate, const FetchRequest &request);

/// The hashes of the listed keys that the store lacks or has in an older version.
std::vector<std::uint64_t> lackingKeys(const ObjectStore &store, const ObjectsMessage &message);

} // namespace Cardamomhill::internal

#pragma once

#include "membership/forcegate.h"
#include "membership/membershipmessage.h"
#include "objectstore/localobjectstore.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill::internal
{

/// A request with the digests of all buckets, for everything that the store lacks.
RepairRequest fullRepairRequest(const LocalObjectStore &store, DigestScope scope);

/// The answer to a repair request from this store. Agents that have joined get only objects in force.
ObjectsMessage answerRepair(const LocalObjectStore &store, const ForceGate &gate, const RepairRequest &request);

ObjectsMessage answerFetch(const LocalObjectStore &store, const ForceGate &gate, const FetchRequest &request);

/// The key hashes listed in the message that the store lacks or has in an older version.
std::vector<std::uint64_t> lackingKeys(const LocalObjectStore &store, const ObjectsMessage &message);

} // namespace Cardamomhill::internal

#pragma once

#include "membership/membershipmessage.h"
#include "membership/replicationgate.h"
#include "objectstore/localobjectstore.h"

#include <cstdint>
#include <vector>

namespace Cardamomhill::internal
{

/// A request with the digests of all buckets, for everything that the store lacks.
RepairRequest fullRepairRequest(const LocalObjectStore &store, DigestScope scope);

/// The answer to a repair request from this store. Agents that have joined get only objects in force.
ObjectsMessage repairAnswer(const LocalObjectStore &store, const ReplicationGate &gate, const RepairRequest &request);

ObjectsMessage fetchAnswer(const LocalObjectStore &store, const ReplicationGate &gate, const FetchRequest &request);

/// The key hashes listed in the message that the store lacks or has in an older version.
std::vector<std::uint64_t> missingKeys(const LocalObjectStore &store, const ObjectsMessage &message);

} // namespace Cardamomhill::internal

#pragma once

#include "core/identifiers.h"
#include "execution/idempotencykey.h"
#include "execution/slotexport.h"
#include "execution/slotnumber.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <boost/flyweight.hpp>
#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

namespace Cardamomhill::internal
{

/// Stores each organisation once; records refer to it by a pointer.
using SharedOrganisation
    = boost::flyweights::flyweight<OrganisationId, boost::flyweights::hashed_factory<std::hash<OrganisationId>>>;

/// What the owner of a slot knows about one key.
struct ExecutionRecord {
    SharedOrganisation organisation;
    IdempotencyKey key;
    std::uint64_t digest;
    std::string answer;
    RecordState state;
    SlotNumber slot;
};

struct KeyHash {
    std::size_t operator()(const IdempotencyKey &key) const
    {
        return key.hash();
    }
};

struct OrganisationHash {
    std::size_t operator()(const SharedOrganisation &organisation) const
    {
        return std::hash<const OrganisationId *>()(&organisation.get());
    }
};

struct ByIdentity;
struct ByTime;

namespace bmi = boost::multi_index;

using RecordIdentity
    = bmi::composite_key<ExecutionRecord,
                         bmi::member<ExecutionRecord, IdempotencyKey, &ExecutionRecord::key>,
                         bmi::member<ExecutionRecord, SharedOrganisation, &ExecutionRecord::organisation>>;

using RecordContainer = bmi::multi_index_container<
    ExecutionRecord,
    bmi::indexed_by<
        bmi::hashed_unique<bmi::tag<ByIdentity>, RecordIdentity, bmi::composite_key_hash<KeyHash, OrganisationHash>>,
        bmi::ordered_non_unique<bmi::tag<ByTime>,
                                bmi::member<ExecutionRecord, IdempotencyKey, &ExecutionRecord::key>>>>;

/// The records of a registry, indexed by organisation and key, and by the time of the key so that the removal of
/// expired records starts at the oldest.
class RecordTable : public RecordContainer
{
};

} // namespace Cardamomhill::internal

#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/random.h"
#include "core/result.h"
#include "execution/keyerror.h"
#include "execution/slotnumber.h"

#include <string>
#include <string_view>

#include <boost/uuid/uuid.hpp>

namespace Cardamomhill
{

/// A UUID of version 7 (RFC 9562) that names one non-idempotent request of an organisation. Its first 48 bits are
/// its Unix time in milliseconds, so keys compare in the order of their times.
class IdempotencyKey
{
public:
    /// Reads the 36-character form; upper-case digits are accepted.
    static Result<IdempotencyKey, KeyError> parse(std::string_view text);

    /// Generates a key of the given time whose slot is in `slots`. Draws 256 / (size of the set) times on average.
    static Result<IdempotencyKey, KeyError>
    generate(const OrganisationId &organisation, const SlotSet &slots, WallTime now, Random &random);

    /// The 36-character form in lower case.
    std::string toString() const;

    WallTime time() const;

    /// hash64(key, seed = hash64(organisation)) mod 256: the same in every process and release.
    SlotNumber slot(const OrganisationId &organisation) const;

    bool operator==(const IdempotencyKey &other) const
    {
        return m_uuid == other.m_uuid;
    }

    bool operator<(const IdempotencyKey &other) const
    {
        return m_uuid < other.m_uuid;
    }

    /// A hash for tables within one process.
    std::size_t hash() const;

private:
    explicit IdempotencyKey(const boost::uuids::uuid &uuid);

    boost::uuids::uuid m_uuid;
};

} // namespace Cardamomhill

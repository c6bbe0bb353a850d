#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// Why a request was not admitted.
enum class AdmissionRefusalCode : std::uint8_t {
    /// The node has reached its limit of requests in flight.
    NodeFull,
    /// The organisation has used up its share, and no unused share can be lent to it.
    ShareUsed,
    /// The organisation has reached its limit over all entry hosts.
    OrganisationLimit,
    /// The other entry hosts are unreachable, and the organisation has used up this host's part of its limit.
    StaticShareUsed,
};

constexpr auto nameTable(AdmissionRefusalCode)
{
    return std::to_array<NamedValue<AdmissionRefusalCode>>({
        {AdmissionRefusalCode::NodeFull, "node-full"},
        {AdmissionRefusalCode::ShareUsed, "share-used"},
        {AdmissionRefusalCode::OrganisationLimit, "organisation-limit"},
        {AdmissionRefusalCode::StaticShareUsed, "static-share-used"},
    });
}

/// A request that was not admitted, with the reason and the time after which the caller may retry.
struct AdmissionRefusal {
    AdmissionRefusalCode code = AdmissionRefusalCode::NodeFull;
    OrganisationId organisation;
    Milliseconds retryAfter{};

    /// 503 when the node is full, 429 when the organisation exceeds its share or limit.
    unsigned httpStatus() const;
    std::string message() const;
};

} // namespace Cardamomhill

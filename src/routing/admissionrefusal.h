#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/nametable.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

enum class AdmissionRefusalCode : std::uint8_t {
    /// The node runs as many requests as it may.
    NodeFull,
    /// The organisation uses its share, and nothing can be lent to it now.
    ShareUsed,
    /// The organisation uses its own limit.
    OrganisationLimit,
    /// Peers cannot be reached, and the organisation uses this node's static part of its limit.
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

/// Why a request was not admitted, and when to come back.
struct AdmissionRefusal {
    AdmissionRefusalCode code = AdmissionRefusalCode::NodeFull;
    OrganisationId organisation;
    Milliseconds retryAfter{};

    /// 503 when the node is full, 429 when the organisation uses too much.
    unsigned httpStatus() const;
    std::string message() const;
};

} // namespace Cardamomhill

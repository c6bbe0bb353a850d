#include "config/organisation.h"

#include "config/objectreader.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MaxWeight = 1000;
constexpr std::size_t Sha256HexLength = 64;

bool isTokenHash(const std::string &text)
{
    return text.size() == Sha256HexLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

} // namespace

Result<Organisation, ConfigErrors> parseOrganisation(const std::string &name, std::string_view json)
{
    internal::ObjectReader reader("organisations", name, json);
    Organisation organisation;
    organisation.id = OrganisationId(name);
    organisation.weight = static_cast<std::uint32_t>(reader.integer("weight", 1, 1, MaxWeight));
    organisation.tokenHashes = reader.strings("token_sha256");
    if (!std::all_of(organisation.tokenHashes.begin(), organisation.tokenHashes.end(), isTokenHash)) {
        reader.addError(ConfigErrorCode::UnknownValue, "token_sha256", "64 lower-case hexadecimal digits each");
    }
    return reader.finish(std::move(organisation));
}

} // namespace Cardamomhill

#include "config/service.h"

#include "config/objectreader.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MinKeyLifetimeSeconds = 60;
constexpr std::int64_t MaxKeyLifetimeSeconds = 7 * 24 * 3600;

} // namespace

bool Service::isIdempotent(std::string_view method, std::string_view path) const
{
    if (kind == ServiceKind::Model) {
        return true;
    }
    return std::any_of(idempotentCalls.begin(), idempotentCalls.end(), [&](const IdempotentCall &call) {
        return call.matches(method, path);
    });
}

Result<Service, ConfigErrors> parseService(const std::string &name, std::string_view json)
{
    internal::ObjectReader reader("services", name, json);
    Service service;
    service.id = ServiceId(name);
    service.profile = ProfileId(reader.requiredString("profile"));
    service.kind = reader.required<ServiceKind>("kind");
    service.keyLifetime = Seconds(
        reader.integer("key_lifetime_s", service.keyLifetime.count(), MinKeyLifetimeSeconds, MaxKeyLifetimeSeconds));
    for (const auto &text : reader.strings("idempotent_calls")) {
        const auto call = parseIdempotentCall(text);
        if (call) {
            service.idempotentCalls.push_back(*call);
        } else {
            reader.addError(ConfigErrorCode::UnknownValue, "idempotent_calls", "\"METHOD /path\"");
        }
    }
    return reader.finish(std::move(service));
}

} // namespace Cardamomhill

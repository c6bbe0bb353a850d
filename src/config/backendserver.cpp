#include "config/backendserver.h"

#include "config/objectreader.h"

#include <boost/asio/ip/address.hpp>

namespace Cardamomhill
{

namespace
{

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxCapacity = 100'000;

bool isIpAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

} // namespace

Result<BackendServer, ConfigErrors> parseBackendServer(const std::string &name, std::string_view json)
{
    internal::ObjectReader reader("backendservers", name, json);
    BackendServer server;
    server.id = BackendServerId(name);
    server.service = ServiceId(reader.requiredString("service"));
    server.failureDomain = FailureDomainId(reader.requiredString("failure_domain"));
    server.agentAddress = reader.requiredString("agent_address");
    if (!isIpAddress(server.agentAddress)) {
        reader.addError(ConfigErrorCode::UnknownValue, "agent_address", "an IP address");
    }
    server.agentPort = static_cast<std::uint16_t>(reader.requiredInteger("agent_port", 1, MaxPort));
    server.capacity = static_cast<std::uint32_t>(reader.requiredInteger("capacity", 1, MaxCapacity));
    server.group = GroupId(reader.string("group", ""));
    return reader.finish(std::move(server));
}

} // namespace Cardamomhill

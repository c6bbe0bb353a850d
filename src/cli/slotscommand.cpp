#include "cli/slotscommand.h"

#include "cli/commandoptions.h"
#include "cli/operationid.h"
#include "cli/runtoend.h"
#include "config/backendserver.h"
#include "control/platformclient.h"
#include "execution/slottable.h"
#include "net/address.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace Cardamomhill
{

using internal::CommandOptions;

namespace
{

constexpr std::string_view SlotsKind = "slots";

/// A command on a slot table, with its connection to the platform.
class SlotsCommand
{
public:
    SlotsCommand(const CommandOptions &options, const tcp::endpoint &platform)
        : m_verb(options.words[1])
        , m_isHostStopped(options.hostStopped)
        , m_client(m_context, platform)
        , m_key{std::string(SlotsKind), options.words[2]}
    {
    }

    ExitStatus run()
    {
        return internal::runToEnd(m_context, dispatch());
    }

private:
    Task<ExitStatus> dispatch()
    {
        const auto servers = co_await m_client.list("backendservers");
        if (servers.has_error()) {
            co_return fail(servers.error().message());
        }
        collectServers(servers.value().objects);
        if (m_verb == "create") {
            co_return co_await create();
        }
        const auto object = co_await m_client.read(m_key);
        if (object.has_error()) {
            co_return fail(object.error().message());
        }
        const auto table = SlotTable::fromText(object.value().value, object.value().version);
        if (table.has_error()) {
            co_return fail(table.error().message());
        }
        if (m_verb == "list") {
            print(table.value());
            co_return ExitStatus::Success;
        }
        co_return co_await reassign(table.value());
    }

    /// Collects the configured servers of the service and all retired servers.
    void collectServers(const std::vector<PlatformObject> &objects)
    {
        for (const auto &object : objects) {
            const auto converted = toVersionedObject(object);
            if (converted.has_value() && converted.value().retired) {
                m_retired.insert(BackendServerId(object.key.name));
                continue;
            }
            const auto server = parseBackendServer(object.key.name, object.value);
            if (server.has_value() && server.value().service.value() == m_key.name) {
                m_configured.push_back(server.value().id);
            }
        }
    }

    Task<ExitStatus> create()
    {
        const auto table = SlotTable::create(m_configured, OperationId(makeOperationId(m_random)));
        if (table.has_error()) {
            co_return fail(table.error().message());
        }
        co_return co_await write(table.value(), 0);
    }

    Task<ExitStatus> reassign(const SlotTable &table)
    {
        if (!m_isHostStopped) {
            co_return fail("slots may be reassigned only after the hosts of the retired backend servers were stopped; "
                           "confirm this with --host-stopped");
        }
        const auto changed = table.withoutRetired(m_retired, m_configured, OperationId(makeOperationId(m_random)));
        if (changed.has_error()) {
            co_return fail(changed.error().message());
        }
        co_return co_await write(changed.value(), table.version());
    }

    Task<ExitStatus> write(const SlotTable &table, std::uint64_t expectedVersion)
    {
        const auto written = co_await m_client.write(m_key, expectedVersion, table.toJson().dump());
        if (written.has_value()) {
            co_return printVersion(written.value().version);
        }
        if (written.error().code != PlatformCallErrorCode::Unavailable) {
            co_return fail(written.error().message());
        }
        co_return co_await verifyWrite(table.operation());
    }

    /// Reads the table after a write without an answer. If it has the write's operation id, the write took effect.
    Task<ExitStatus> verifyWrite(OperationId operation)
    {
        const auto object = co_await m_client.read(m_key);
        if (object.has_error()) {
            co_return fail("the write may or may not have taken effect: " + object.error().message());
        }
        const auto table = SlotTable::fromText(object.value().value, object.value().version);
        if (table.has_error()) {
            co_return fail(table.error().message());
        }
        const auto &earlier = table.value().previousOperations();
        const bool isApplied = table.value().operation() == operation
            || std::find(earlier.begin(), earlier.end(), operation) != earlier.end();
        if (!isApplied) {
            co_return fail("the write may or may not take effect; list the slots before you repeat it");
        }
        co_return printVersion(object.value().version);
    }

    ExitStatus printVersion(std::uint64_t version) const
    {
        std::cout << m_key.kind << '/' << m_key.name << " version " << version << '\n';
        return ExitStatus::Success;
    }

    static void print(const SlotTable &table)
    {
        std::map<std::string, std::size_t> counts;
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            const auto &entry = table.entry(static_cast<SlotNumber>(slot));
            ++counts[entry.owner.value() + ' ' + std::string(nameOf(entry.state))];
        }
        for (const auto &[owner, count] : counts) {
            std::cout << owner << ' ' << count << " slots\n";
        }
    }

    static ExitStatus fail(const std::string &message)
    {
        std::cerr << message << '\n';
        return ExitStatus::RuntimeError;
    }

    std::string m_verb;
    bool m_isHostStopped;
    asio::io_context m_context;
    PlatformClient m_client;
    ObjectKey m_key;
    std::vector<BackendServerId> m_configured;
    std::set<BackendServerId> m_retired;
    Random m_random{std::random_device()()};
};

} // namespace

ExitStatus slotsCommand(const CommandOptions &options)
{
    static const std::set<std::string> Verbs{"create", "list", "reassign"};
    const auto platform = parseAddress(options.platform);
    if (options.words.size() != 3 || Verbs.count(options.words[1]) == 0 || !platform) {
        std::cerr << "usage: cardamomhill slots create|reassign|list SERVICE --platform ADDRESS:PORT; see cardamomhill "
                     "--help\n";
        return ExitStatus::UsageError;
    }
    return SlotsCommand(options, *platform).run();
}

} // namespace Cardamomhill

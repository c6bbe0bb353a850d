// A drill of the store: it is away for a moment and comes back from a copy some seconds old. Nine gateways in one zone,
// plain servers of two services, a group of one rank whose coordinator's lease is renewed, and a store.

#include "../standins-3/deployment.h"
#include "../standins-3/documents.h"
#include "../standins-3/modelserver.h"
#include "../standins-3/quietgroup.h"
#include "../standins-3/storestandin.h"

#include <string>

namespace
{

constexpr int Gateways = 9;
constexpr int SettleMs = 10000;
constexpr int CopyAgeMs = 8000;
/// How long before the drill the operator writes version 4.
constexpr int ChangeBeforeMs = 1000;
constexpr int AwayMs = 120;
/// `stable-window-ms` and `config-ms` of the site, and as much time again.
constexpr int StableWindowMs = 4000;
constexpr int ConfigMs = 3000;
constexpr int MoreMs = 3000;
constexpr int ReadyTimeoutMs = 10000;
constexpr int CallTimeoutMs = 4000;
constexpr int Rounds = 3;
constexpr int RoundGapMs = 8000;
constexpr int Ok = 200;
constexpr int Unauthorized = 401;

const std::string HostSettings
    = "retry_slack: 202\nretry_ratio: 0.2\nretry_window_s: 10\ntermination_grace_s: 8\ncoordinate_groups: true\n"
      "link_megabits_per_second: 40.0\nengine_stall_ms: 1500\nmemory_megabytes: 160\nmax_descriptors: 4100\n";

/// Version 5 moves the route to the other service, and takes a key away and brings another one. Versions 3 and 4 say
/// the same.
std::string configuration(int version)
{
    const bool isOld = version < 5;
    return configurationDocument(
        version,
        {routeDocument("ledger.example", "/pledge/", "idempotent", isOld ? "ledger-a" : "ledger-b")},
        {serviceDocument("ledger-a"), serviceDocument("ledger-b"), engineServiceDocument("cardamom-pool")},
        {"k1", isOld ? "k2" : "k3"});
}

bool answerPlain(const ModelServer::Call &call)
{
    if (call.head.path() != "/health") {
        call.server.record().write("server " + call.server.id() + " runs " + call.id());
    }
    return sendAnswer(call, Ok, call.server.id());
}

Answer call(const Gateway &gateway, const std::string &id, const std::string &key)
{
    return exchange(gateway.port,
                    "GET /pledge/x HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Token " + key
                        + "\r\nCardamomhill-Request-Id: " + id
                        + "\r\nCardamomhill-Request-Deadline: 1000\r\nConnection: close\r\n\r\n",
                    CallTimeoutMs);
}

/// Calls each gateway with the key that stays, the one that was taken away and the new one. The number of gateways that
/// handle any of them as only versions 3 and 4 allow.
int countStale(Deployment &deployment, int round, Record &record)
{
    int stale = 0;
    for (const auto &gateway : deployment.gateways()) {
        const auto prefix = gateway->name + "-" + std::to_string(round) + "-";
        const auto staying = call(*gateway, prefix + "k1", "k1");
        const auto withdrawn = call(*gateway, prefix + "k2", "k2");
        const auto added = call(*gateway, prefix + "k3", "k3");
        const bool isOldService = staying.head.status() == Ok && staying.body == "ledger-a-1";
        const bool isDroppedKeyUsed = withdrawn.head.status() == Ok;
        const bool isNewKeyRefused = added.head.status() == Unauthorized;
        const bool isStale = isOldService || isDroppedKeyUsed || isNewKeyRefused;
        stale += isStale ? 1 : 0;
        record.write("round " + std::to_string(round) + ", " + gateway->name + ": k1 "
                     + std::to_string(staying.head.status()) + " run by " + staying.body + ", k2 "
                     + std::to_string(withdrawn.head.status()) + ", k3 " + std::to_string(added.head.status())
                     + (isStale ? ": as versions 3 and 4 say" : ""));
    }
    return stale;
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = CaseSettings::fromArguments(argc, argv);
    Record record(settings.recordFile);
    ModelServer first("ledger-a-1", record, &answerPlain);
    ModelServer second("ledger-b-1", record, &answerPlain);
    const QuietGroup group({"g1", "cardamom-pool", {"ne-east-a"}}, record);
    StoreStandin store(record);
    store.put("servers", first.id(), serverSpec("ledger-a", first.port(), "ne-east-a", 6));
    store.put("servers", second.id(), serverSpec("ledger-b", second.port(), "ne-east-a", 6));
    store.put("servers", group.idOf(0), group.spec(0));
    store.put("config", "main", configuration(3));
    Deployment deployment(settings, store.port(), record);
    for (int number = 1; number <= Gateways; ++number) {
        deployment.addGateway("front-" + std::to_string(number), "ne-east-a", HostSettings);
    }
    if (!deployment.waitUntilReady(ReadyTimeoutMs)) {
        return 2;
    }
    sleepMs(SettleMs);
    if (countStale(deployment, 0, record) != Gateways) {
        // Only version 3 exists, and each gateway must handle the calls by it.
        record.write("VERDICT: the case could not run");
        return 2;
    }
    store.takeCopy();
    sleepMs(CopyAgeMs - ChangeBeforeMs);
    store.put("config", "main", configuration(4));
    sleepMs(ChangeBeforeMs);
    if (settings.hasTrouble) {
        store.drill(AwayMs);
        // What the operator wrote is written again.
        store.put("config", "main", configuration(4));
    }
    sleepMs(StableWindowMs);
    store.put("config", "main", configuration(5));
    record.write("version 5 is acknowledged");
    sleepMs(ConfigMs + MoreMs);
    int stale = 0;
    for (int round = 1; round <= Rounds; ++round) {
        stale = countStale(deployment, round, record);
        record.write("round " + std::to_string(round) + ": " + std::to_string(stale) + " of " + std::to_string(Gateways)
                     + " gateways are stale, the store is at revision " + std::to_string(store.revision()));
        sleepMs(round < Rounds ? RoundGapMs : 0);
    }
    record.write(stale > 0 ? "VERDICT: broken" : "VERDICT: held");
    return stale > 0 ? 1 : 0;
}

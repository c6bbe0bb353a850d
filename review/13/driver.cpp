// A caller that expects a version of the weights that the servers no longer have. Two gateways, two groups of two
// ranks, and a store.

#include "../standins-3/callers.h"
#include "../standins-3/deployment.h"
#include "../standins-3/documents.h"
#include "../standins-3/quietgroup.h"
#include "../standins-3/storestandin.h"

#include <list>
#include <string>

namespace
{

constexpr int SoundCalls = 150;
constexpr int CallGapMs = 200;
constexpr int SettleMs = 2000;
constexpr int ReadyTimeoutMs = 10000;

std::string request(const std::string &id, const std::string &fields)
{
    return streamRequest("desk.example", "/debtor/x", id, fields);
}

} // namespace

int main(int argc, char **argv)
{
    const auto settings = CaseSettings::fromArguments(argc, argv);
    Record record(settings.recordFile);
    StoreStandin store(record);
    Deployment deployment(settings, store.port(), record);
    std::list<QuietGroup> groups;
    for (const auto *const name : {"g1", "g2"}) {
        QuietGroup::Options options{name, "cardamom-pool", {"ne-east-a", "ne-east-b"}};
        options.version = "2";
        const auto &group = groups.emplace_back(options, record);
        for (std::size_t rank = 0; rank < group.size(); ++rank) {
            store.put("servers", group.idOf(rank), group.spec(rank));
        }
    }
    store.put("config",
              "main",
              configurationDocument(3,
                                    {streamRouteDocument("desk.example", "/debtor/", "cardamom-pool")},
                                    {engineServiceDocument("cardamom-pool")},
                                    {"k1"}));
    deployment.addGateway("front-1", "ne-east-a");
    deployment.addGateway("front-2", "ne-east-b");
    if (!deployment.waitUntilReady(ReadyTimeoutMs)) {
        return 2;
    }
    sleepMs(SettleMs);
    const std::string former = settings.hasTrouble ? "Cardamomhill-Expected-Version: 1\r\n" : "";
    std::list<Callers> first;
    std::list<Callers> sound;
    for (const auto &gateway : deployment.gateways()) {
        auto &callers = first.emplace_back(*gateway, record);
        callers.begin("former", 1, 0, [&](const std::string &id, int) { return request(id, former); });
    }
    for (auto &callers : first) {
        callers.outcomes();
    }
    for (const auto &gateway : deployment.gateways()) {
        auto &callers = sound.emplace_back(*gateway, record);
        callers.begin("sound", SoundCalls, CallGapMs, [](const std::string &id, int) { return request(id, ""); });
    }
    int total = 0;
    auto gateway = deployment.gateways().begin();
    for (auto &callers : sound) {
        const int served = callers.servedCount();
        record.write("gateway " + (*gateway)->name
                     + (Deployment::isReady(**gateway) ? " says it is ready" : " is not ready") + " and has served "
                     + std::to_string(served) + " of " + std::to_string(SoundCalls) + " sound requests");
        total += served;
        ++gateway;
    }
    record.write(total == 0 ? "VERDICT: broken" : "VERDICT: held");
    return total == 0 ? 1 : 0;
}

#include "../standins/caller.h"
#include "../standins/deployment.h"
#include "../standins/exitstatus.h"
#include "../standins/gateway.h"
#include "../standins/orderserver.h"
#include "../standins/record.h"
#include "../standins/store.h"

#include <chrono>
#include <iostream>
#include <memory>

namespace Review
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *WithdrawnKey = "anfqasnmgkcuyj8pjbvk";
constexpr int CallersPerGateway = 3;
/// When the store loses one answer of each kind, and when something changes meanwhile.
constexpr int LossFromMs = 5000;
constexpr int ChangeMs = 6000;
constexpr int LossToMs = 9500;
/// When a server begins to leave and a key is withdrawn: the store has been stable for longer than `stable-window-ms`.
constexpr int LeaveMs = 14'000;
/// `drain-ms` and `config-ms`.
constexpr int DrainMs = 2000;
constexpr int ConfigurationMs = 2000;
/// The server goes on after `drain-ms` for some seconds.
constexpr int ServerEndMs = 20'000;
constexpr int EndMs = 24'000;

void waitUntil(int timeMs)
{
    while (elapsedMs() < timeMs) {
        std::this_thread::sleep_for(5ms);
    }
}

nlohmann::json routes(int count)
{
    auto routes = nlohmann::json::array({routeOf("orders", "non_idempotent", 800, 1)});
    for (int i = 0; i < count; ++i) {
        routes.push_back(routeOf("more-" + std::to_string(i), "idempotent", 800, 2));
    }
    return routes;
}

ExitStatus run(const std::string &directory, const std::string &recordPath, bool hasTrouble)
{
    Record record(recordPath);
    Store store;
    OrderServer staying("i-staying", store, record);
    OrderServer leaving("i-leaving", store, record);
    writeConfiguration(store, 7, routes(0), {ApiKey, WithdrawnKey});
    Gateway first("front-1", directory, store.port(), record);
    Gateway second("front-2", directory, store.port(), record);
    const std::vector<Gateway *> gateways{&first, &second};
    if (!waitUntilReady(gateways) || elapsedMs() > LossFromMs) {
        record.conclude("the gateways are not ready in time");
        return ExitStatus::NotRun;
    }
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::unique_ptr<Caller>> withdrawn;
    for (const auto *gateway : gateways) {
        for (int i = 0; i < CallersPerGateway; ++i) {
            callers.push_back(std::make_unique<Caller>(*gateway, std::to_string(i), ApiKey, record));
        }
        withdrawn.push_back(std::make_unique<Caller>(*gateway, "withdrawn", WithdrawnKey, record));
    }
    waitUntil(LossFromMs);
    const auto answeredBefore = store.answeredCount();
    if (hasTrouble) {
        store.loseNextChange("config");
        store.loseNextChange("servers");
    }
    waitUntil(ChangeMs);
    writeConfiguration(store, 8, routes(1), {ApiKey, WithdrawnKey});
    registerServer(store, OrderService, "i-staying", staying.port(), "ready", "v2");
    waitUntil(LossToMs);
    store.loseNoMore();
    record.conclude("the store has lost " + std::to_string(store.lostCount()) + " answers, given "
                    + std::to_string(store.answeredCount() - answeredBefore) + " others meanwhile, and is sound again");
    waitUntil(LeaveMs);
    registerServer(store, OrderService, "i-leaving", leaving.port(), "draining");
    writeConfiguration(store, 9, routes(1), {ApiKey});
    const auto acknowledgedAt = elapsedMs();
    record.conclude("acknowledged: i-leaving is draining, and the key of the callers 'withdrawn' is gone");
    waitUntil(ServerEndMs);
    leaving.end();
    waitUntil(EndMs);
    std::size_t late = 0;
    std::size_t unanswered = 0;
    std::size_t answered = 0;
    for (auto &caller : callers) {
        caller->stop();
        answered += successCount(caller->calls());
        for (const auto &call : caller->calls()) {
            const auto runAt = leaving.runAt(call.id);
            const bool isLate = runAt && *runAt > acknowledgedAt + DrainMs;
            late += isLate ? 1 : 0;
            unanswered += isLate && call.status != 200 ? 1 : 0;
        }
    }
    std::size_t unauthorised = 0;
    for (auto &caller : withdrawn) {
        caller->stop();
        for (const auto &call : caller->calls()) {
            const bool hasRun = staying.runAt(call.id) || leaving.runAt(call.id);
            unauthorised += hasRun && call.sentAt > acknowledgedAt + ConfigurationMs ? 1 : 0;
        }
    }
    record.conclude(std::to_string(answered) + " orders answered");
    record.conclude(std::to_string(late) + " orders reached i-leaving later than drain-ms after the acknowledgement; "
                    + std::to_string(unanswered) + " of them ran and got no answer of the server");
    record.conclude(
        std::to_string(unauthorised)
        + " orders ran that were sent with the withdrawn key later than config-ms after the acknowledgement");
    if (answered == 0) {
        return ExitStatus::NotRun;
    }
    return late + unauthorised > 0 ? ExitStatus::Broken : ExitStatus::Held;
}

} // namespace

} // namespace Review

/// Usage: case-3 DIRECTORY RECORD TROUBLE
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: case-3 DIRECTORY RECORD TROUBLE\n";
        return 2;
    }
    return static_cast<int>(Review::run(argv[1], argv[2], std::string(argv[3]) != "0"));
}

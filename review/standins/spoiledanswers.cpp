#include "spoiledanswers.h"

#include "caller.h"
#include "deployment.h"
#include "gateway.h"
#include "httplistener.h"
#include "httpmessage.h"
#include "lostorders.h"
#include "orderserver.h"
#include "record.h"
#include "store.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>

namespace Review
{

namespace
{

using namespace std::chrono_literals;

constexpr int CallersPerGateway = 8;
constexpr auto WorkTime = 200ms;
/// When the server is in trouble, and for how long each time.
constexpr int TroubleTimes[] = {5000, 15'000, 25'000};
constexpr int TroubleMs = 5500;
constexpr int EndMs = 34'000;
/// One in so many answers is spoiled.
constexpr int AnswersPerSpoiled = 50;

bool isTroubledNow()
{
    const auto now = elapsedMs();
    return std::any_of(std::begin(TroubleTimes), std::end(TroubleTimes), [now](int time) {
        return now >= time && now < time + TroubleMs;
    });
}

} // namespace

ExitStatus playSpoiledAnswers(const std::string &directory,
                              const std::string &recordPath,
                              bool hasTrouble,
                              const AnswerWriter &writeSound,
                              const AnswerWriter &writeSpoiled)
{
    Record record(recordPath);
    Store store;
    OrderServer sound("i-sound", store, record);
    std::atomic<int> answersInTrouble = 0;
    std::atomic<int> spoiledCount = 0;
    HttpListener faulty([&](Socket &socket, const HttpMessage &request) {
        const auto id = request.header("cardamomhill-request-id");
        record.add("ran " + id + " at i-faulty");
        std::this_thread::sleep_for(WorkTime);
        const bool isSpoiled = hasTrouble && isTroubledNow() && ++answersInTrouble % AnswersPerSpoiled == 0;
        if (isSpoiled) {
            ++spoiledCount;
            record.add("i-faulty spoils the answer to " + id);
        }
        return isSpoiled ? writeSpoiled(socket, id) : writeSound(socket, id);
    });
    registerServer(store, OrderService, "i-faulty", faulty.port());
    writeConfiguration(store, 7, nlohmann::json::array({routeOf("orders", "non_idempotent", 800, 1)}));
    Gateway first("front-1", directory, store.port(), record);
    Gateway second("front-2", directory, store.port(), record);
    const std::vector<Gateway *> gateways{&first, &second};
    if (!waitUntilReady(gateways)) {
        record.conclude("the gateways are not ready");
        return ExitStatus::NotRun;
    }
    std::vector<std::unique_ptr<Caller>> callers;
    for (const auto *gateway : gateways) {
        for (int i = 0; i < CallersPerGateway; ++i) {
            callers.push_back(std::make_unique<Caller>(*gateway, std::to_string(i), ApiKey, record));
        }
    }
    while (elapsedMs() < EndMs) {
        std::this_thread::sleep_for(100ms);
    }
    std::size_t answered = 0;
    std::size_t lost = 0;
    for (auto &caller : callers) {
        caller->stop();
        answered += successCount(caller->calls());
        lost += lostCount(caller->calls(), [&sound](const std::string &id) { return sound.runAt(id).has_value(); });
    }
    record.conclude(std::to_string(spoiledCount) + " answers spoiled, " + std::to_string(answered)
                    + " orders answered");
    for (auto *gateway : gateways) {
        record.conclude(gateway->name() + " ended by itself " + std::to_string(gateway->ownEnds().size()) + " times");
    }
    record.conclude(std::to_string(lost)
                    + " orders from kept connections passed on to the sound server, which ran them, "
                    + "and closed without an answer by machines in touch; allowed: " + std::to_string(AllowedLosses));
    if (answered == 0) {
        return ExitStatus::NotRun;
    }
    return lost > AllowedLosses ? ExitStatus::Broken : ExitStatus::Held;
}

} // namespace Review

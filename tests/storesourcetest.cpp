#include "objectstore/storesource.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

constexpr SteadyTime Start{Seconds(100)};
constexpr int Hosts = 12;

std::string hostName(int index)
{
    return "host-" + std::to_string(index);
}

std::vector<RelayHost> otherHosts(const std::string &host, int count = Hosts)
{
    std::vector<RelayHost> hosts;
    for (int index = 0; index < count; ++index) {
        if (hostName(index) != host) {
            hosts.push_back({hostName(index), "192.0.2." + std::to_string(index + 1) + ":7400"});
        }
    }
    return hosts;
}

/// The source of a host that is not a relay.
StoreSource relayedHost()
{
    for (int index = 0; index < Hosts; ++index) {
        StoreSource source(hostName(index));
        source.setHosts(otherHosts(hostName(index)));
        if (source.role() == StoreRole::Relayed) {
            return source;
        }
    }
    FAIL("every host is a relay");
    return StoreSource("");
}

/// Name of the relay to call; empty if none is to be called.
std::string relayToCall(const SourceChoice &choice)
{
    const auto *call = std::get_if<CallRelay>(&choice);
    return call == nullptr ? std::string() : call->host.name;
}

bool callsStore(const SourceChoice &choice)
{
    return std::holds_alternative<CallStore>(choice);
}

} // namespace

TEST_CASE("two hosts of a failure domain are relays that call the store, and each other host calls one of these two")
{
    std::set<std::string> relays;
    std::map<std::string, int> calls;
    for (int index = 0; index < Hosts; ++index) {
        StoreSource source(hostName(index));
        source.setHosts(otherHosts(hostName(index)));
        if (source.role() == StoreRole::Relay) {
            relays.insert(hostName(index));
            CHECK(callsStore(source.nextStep(Start)));
        } else {
            ++calls[relayToCall(source.nextStep(Start))];
        }
    }
    CHECK(relays.size() == 2);
    REQUIRE(calls.size() == 2);
    for (const auto &[relay, count] : calls) {
        CHECK(relays.contains(relay));
        CHECK(count >= 2);
    }
}

TEST_CASE("in a small failure domain, and before other hosts are known, every host calls the store")
{
    constexpr int FewHosts = 7;
    for (int index = 0; index < FewHosts; ++index) {
        StoreSource source(hostName(index));
        CHECK(callsStore(source.nextStep(Start)));
        source.setHosts(otherHosts(hostName(index), FewHosts));
        CHECK(source.role() == StoreRole::Direct);
        CHECK(callsStore(source.nextStep(Start)));
    }
}

TEST_CASE("after a relay failed the other is called at once, and after both failed the store is, for a while")
{
    auto source = relayedHost();
    const auto first = relayToCall(source.nextStep(Start));
    source.relayFailed(first, Start);
    const auto second = relayToCall(source.nextStep(Start));
    REQUIRE_FALSE(second.empty());
    CHECK(second != first);
    source.relayFailed(second, Start);
    CHECK(callsStore(source.nextStep(Start)));
    CHECK_FALSE(callsStore(source.nextStep(Start + Seconds(4))));
}

TEST_CASE("after a relay lost contact the other is called, and after both lost it the store is, within a second")
{
    auto source = relayedHost();
    auto now = Start;
    const auto first = relayToCall(source.nextStep(now));
    source.relayHasNoContact(first, now);
    CHECK(source.hasContact(now));
    const auto second = relayToCall(source.nextStep(now));
    REQUIRE_FALSE(second.empty());
    CHECK(second != first);
    source.relayHasNoContact(second, now);
    CHECK_FALSE(source.hasContact(now));
    while (!callsStore(source.nextStep(now)) && now < Start + Seconds(1)) {
        const auto relay = relayToCall(source.nextStep(now));
        if (!relay.empty()) {
            source.relayHasNoContact(relay, now);
        }
        now += Milliseconds(10);
    }
    CHECK(callsStore(source.nextStep(now)));
    // The store refused only the calls of the relays.
    source.storeAnswered(now);
    CHECK(source.hasContact(now));
    CHECK(callsStore(source.nextStep(now + Milliseconds(500))));
    // The relays are called again. Their lack of contact does not end this host's contact with the store.
    now += Seconds(4);
    for (int call = 0; call < 2; ++call) {
        const auto relay = relayToCall(source.nextStep(now));
        REQUIRE_FALSE(relay.empty());
        source.relayHasNoContact(relay, now);
        CHECK(source.hasContact(now));
    }
    CHECK(callsStore(source.nextStep(now)));
}

TEST_CASE(
    "while the store is unavailable a host calls it rarely, and it uses a relay soon after that has contact again")
{
    auto source = relayedHost();
    const auto availableAt = Start + Seconds(10);
    int storeCalls = 0;
    auto now = Start;
    while (now < availableAt + Milliseconds(300)) {
        const auto choice = source.nextStep(now);
        const auto relay = relayToCall(choice);
        if (callsStore(choice)) {
            ++storeCalls;
            source.storeFailed(now);
        } else if (!relay.empty() && now < availableAt) {
            source.relayHasNoContact(relay, now);
        } else if (!relay.empty()) {
            source.relayAnswered(relay);
            break;
        }
        now += Milliseconds(10);
    }
    CHECK(storeCalls >= 1);
    // At most as often as a host without relays probes the store.
    CHECK(storeCalls <= 6);
    CHECK(source.hasContact(now));
    CHECK(now <= availableAt + Milliseconds(220));
}

TEST_CASE("a host calls the store within two seconds of its return, although the relays still have no contact")
{
    for (int begin = 1; begin < 100; ++begin) {
        auto source = relayedHost();
        const auto availableAt = Start + Milliseconds(begin * 100);
        auto now = Start;
        bool isKnown = false;
        while (!isKnown && now < availableAt + Seconds(3)) {
            const auto choice = source.nextStep(now);
            const auto relay = relayToCall(choice);
            if (!relay.empty()) {
                source.relayHasNoContact(relay, now);
            } else if (callsStore(choice)) {
                isKnown = now >= availableAt;
                isKnown ? source.storeAnswered(now) : source.storeFailed(now);
            }
            now += Milliseconds(10);
        }
        CHECK(now < availableAt + Seconds(2));
    }
}

TEST_CASE("after a host that is not a relay by its own view declined a call, the store is called for a while")
{
    auto source = relayedHost();
    source.relayDeclined(Start);
    CHECK(callsStore(source.nextStep(Start)));
    CHECK_FALSE(callsStore(source.nextStep(Start + Seconds(4))));
}

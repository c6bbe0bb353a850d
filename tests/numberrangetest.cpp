#include "core/wholenumber.h"

#include "platform/engine.h"
#include "platform/store.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

/// Numbers that are not whole, are negative or do not fit 32 bits.
const std::vector<std::string> OddNumbers{"-1", "4294967296", "18446744073709551616", "0.5", "1e30", "-0.5"};

Result<DiscoveredServer, StoreParseError> parseServer(const std::string &fields)
{
    return Platform::Store().parseServer(
        {{"servers", "s1"}, 7, R"({"service":"shop","zone":"d1","state":"ready",)" + fields + "}"});
}

Result<std::shared_ptr<const TrafficConfiguration>, StoreParseError> parseConfiguration(const std::string &members)
{
    return Platform::Store().parseConfiguration({{"config", "main"}, 7, "{" + members + "}"});
}

template<class Value, class Error>
void checkOutOfRange(const Result<Value, Error> &result, const std::string &input)
{
    REQUIRE_MESSAGE(result.has_error(), input);
    CHECK_MESSAGE(nameOf(result.error().code) == "out-of-range", input);
}

} // namespace

TEST_CASE("a whole number is read only if it fits the type")
{
    CHECK(wholeNumber<std::uint16_t>(65535) == 65535);
    CHECK(wholeNumber<std::uint16_t>(4.0) == 4);
    CHECK(wholeNumber<std::uint64_t>(UINT64_MAX) == UINT64_MAX);
    for (const auto &odd : {nlohmann::json(65536),
                            nlohmann::json(-1),
                            nlohmann::json(0.5),
                            nlohmann::json(1e300),
                            nlohmann::json("4"),
                            nlohmann::json(true),
                            nlohmann::json(nullptr)}) {
        CHECK_FALSE(wholeNumber<std::uint16_t>(odd).has_value());
    }
}

TEST_CASE("a registration whose slots or group are no numbers that fit names no server")
{
    const std::string address = R"("address":"127.0.0.1:9")";
    CHECK(parseServer(address + R"(,"slots":4)").value().slots == 4);
    const auto group = [&](const std::string &epoch, const std::string &rank, const std::string &size) {
        return address + R"(,"slots":4,"group":{"name":"g","state":"open","epoch":)" + epoch + R"(,"rank":)" + rank
            + R"(},"size":)" + size;
    };
    CHECK(parseServer(group("3", "1", "2")).value().groupMembership->epoch == 3);
    for (const auto &odd : OddNumbers) {
        auto withSlots = address;
        withSlots.append(R"(,"slots":)").append(odd);
        checkOutOfRange(parseServer(withSlots), odd);
        checkOutOfRange(parseServer(group("3", odd, "2")), odd);
        checkOutOfRange(parseServer(group("3", "1", odd)), odd);
    }
    for (const std::string odd : {"-1", "18446744073709551616", "0.5"}) {
        checkOutOfRange(parseServer(group(odd, "1", "2")), odd);
        auto withStart = address;
        withStart.append(R"(,"slots":4,"born":)").append(odd);
        checkOutOfRange(parseServer(withStart), odd);
    }
    CHECK(parseServer(address + R"(,"slots":4,"group":7)").has_error());
}

TEST_CASE("a registration whose address has no valid port names no server")
{
    for (const std::string odd : {"127.0.0.1:65536",
                                  "127.0.0.1:0",
                                  "127.0.0.1:-1",
                                  "127.0.0.1:9x",
                                  "127.0.0.1:",
                                  "127.0.0.1",
                                  "",
                                  "127.0.0.1:4294967305"}) {
        checkOutOfRange(parseServer(R"("slots":4,"address":")" + odd + '"'), odd);
    }
    CHECK(parseServer(R"("slots":4,"address":"[::1]:9")").has_value());
}

TEST_CASE("a configuration with a number that does not fit is rejected as a whole")
{
    const auto route = [](const std::string &field, const std::string &value) {
        return R"("version":1,"services":[],"routes":[{"hostname":"h","path-prefix":"/","route-type":"idempotent","service":"s",")"
            + field + R"(":)" + value + "}]";
    };
    CHECK(parseConfiguration(route("timeout-ms", "1500.5")).has_value());
    for (const auto &odd : OddNumbers) {
        checkOutOfRange(parseConfiguration(route("priority", odd)), odd);
        checkOutOfRange(parseConfiguration(route("max-attempts", odd)), odd);
    }
    checkOutOfRange(parseConfiguration(route("timeout-ms", "-1")), "-1");
    checkOutOfRange(parseConfiguration(route("timeout-ms", "1e30")), "1e30");
    checkOutOfRange(parseConfiguration(R"("version":-1,"services":[],"routes":[])"), "version");
}

// Guards against servers that are out of use, or limited without end, because of a value that no call depends on.
TEST_CASE("a registration whose remaining cold time is odd names its server all the same")
{
    const auto remaining = [](const std::string &value) {
        const auto server = parseServer(R"("address":"127.0.0.1:9","slots":4,"cold-remaining-ms":)" + value);
        REQUIRE_MESSAGE(server.has_value(), value);
        return server.value().coldRemaining;
    };
    CHECK(remaining("4200") == Milliseconds(4200));
    CHECK(remaining("4199.5") == Milliseconds(4200));
    for (const std::string none : {"0", "-1", "-1e300", "null", "true", "\"4200\"", "[4200]", "{\"ms\":4200}"}) {
        CHECK_MESSAGE(remaining(none) == Milliseconds(0), none);
    }
    for (const std::string huge : {"18446744073709551616", "1e300", "9223372036854775807"}) {
        CHECK_MESSAGE(remaining(huge) == Seconds(24 * 3600), huge);
    }
    CHECK(parseServer(R"("address":"127.0.0.1:9","slots":4)").value().coldRemaining == Milliseconds(0));
}

TEST_CASE("a service states how long its servers are cold and how many calls a second they should get")
{
    const auto service = [](const std::string &fields) {
        return parseConfiguration(R"("version":1,"routes":[],"services":[{"name":"s")" + fields + "}]");
    };
    const auto stated = service(R"(,"cold-start-s":7.5,"cold-per-s":14.25)");
    CHECK(stated.value()->service(ServiceId("s"))->coldStart == Milliseconds(7500));
    CHECK(stated.value()->service(ServiceId("s"))->coldCallsPerSecond == 14.25);
    CHECK(service("").value()->service(ServiceId("s"))->coldCallsPerSecond == 0);
    for (const std::string odd : {"-1", "1e30", "18446744073709551616", "\"8\"", "null", "true"}) {
        checkOutOfRange(service(R"(,"cold-start-s":)" + odd), odd);
        checkOutOfRange(service(R"(,"cold-per-s":)" + odd), odd);
    }
}

TEST_CASE("a report of an engine with a number that does not fit is rejected")
{
    const Platform::Engine engine;
    const auto state = [](const std::string &epoch, const std::string &running) {
        return R"({"group":{"epoch":)" + epoch + R"(,"state":"open"},"step":1,"map":1,"num-running":)" + running + "}";
    };
    CHECK(engine.parseState(state("3", "4")).value().runningRequests == 4);
    checkOutOfRange(engine.parseState(state("-3", "4")), "epoch");
    CHECK(engine.parseCounts(R"({"epoch":3,"counts":[1,2]})").value().counts == std::vector<std::uint64_t>{1, 2});
    CHECK(engine.parseHeldExperts(R"({"epoch":3,"map":{"version":1,"experts":[[1,2]]}})").value().experts.size() == 1);
    for (const auto &odd : OddNumbers) {
        checkOutOfRange(engine.parseState(state("3", odd)), odd);
        checkOutOfRange(engine.parseHeldExperts(R"({"epoch":3,"map":{"version":1,"experts":[[)" + odd + "]]}}"), odd);
    }
    checkOutOfRange(engine.parseCounts(R"({"epoch":3,"counts":[-1]})"), "counts");
    checkOutOfRange(engine.parseCounts(R"({"epoch":3,"counts":7})"), "counts");
}

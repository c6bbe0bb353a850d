#include "wire/wire.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace Cardamomhill
{

TEST_CASE("a decoded message equals the encoded one")
{
    Execute execute;
    execute.attempt = 7;
    execute.body = std::string("\0x", 2);
    execute.idempotencyKey = "key";
    const auto decoded = decodeMessage(encodeMessage(execute));
    REQUIRE(decoded.has_value());
    REQUIRE(std::holds_alternative<Execute>(decoded.value()));
    CHECK(std::get<Execute>(decoded.value()).body == execute.body);
    CHECK(std::get<Execute>(decoded.value()).idempotencyKey == "key");
}

TEST_CASE("malformed input gives a typed error, never an exception")
{
    CHECK(rc::check("random bytes", [](const std::string &bytes) {
        const auto decoded = decodeMessage(bytes);
        RC_ASSERT(decoded.has_error());
    }));
    CHECK(rc::check("a message with one byte changed", [](std::uint8_t value) {
        const auto bytes = encodeMessage(AttemptEnded{1, AttemptOutcome::NotRun, AttemptReason::Leaving, 5});
        auto changed = bytes;
        changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(value);
        const auto decoded = decodeMessage(changed);
        const bool isTyped = decoded.has_value() || !decoded.error().message().empty();
        RC_ASSERT(isTyped);
    }));
    const auto whole = encodeMessage(Heartbeat{300});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK(decodeMessage(std::string_view(whole).substr(0, length)).has_error());
    }
}

TEST_CASE("a length above the limit is rejected before memory is allocated for it")
{
    CHECK(decodeLength(std::string("\xff\xff\xff\xff", 4)).error().code == WireErrorCode::TooLarge);
    CHECK(decodeLength(std::string("\x00\x00\x01\x00", 4)).value() == 256);
}

} // namespace Cardamomhill

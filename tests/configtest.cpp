#include "config/config.h"
#include "objectstore/versionedobject.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace Cardamomhill
{

namespace
{

VersionedObject
object(const std::string &kind, const std::string &name, std::uint64_t version, const std::string &value)
{
    return {{kind, name}, version, value, value.empty()};
}

bool hasError(const ConfigErrors &errors, ConfigErrorCode code, const std::string &field)
{
    return std::any_of(errors.begin(), errors.end(), [&](const ConfigError &error) {
        return error.code == code && error.field == field;
    });
}

} // namespace

TEST_CASE("all errors of an object are reported together")
{
    const auto errors
        = validateObject("profiles", "a b", R"({"class":"fast","timeout_ms":0,"retry_ratio":"x","more":1})");
    CHECK(hasError(errors, ConfigErrorCode::InvalidName, ""));
    CHECK(hasError(errors, ConfigErrorCode::UnknownValue, "class"));
    CHECK(hasError(errors, ConfigErrorCode::OutOfRange, "timeout_ms"));
    CHECK(hasError(errors, ConfigErrorCode::WrongType, "retry_ratio"));
    CHECK(hasError(errors, ConfigErrorCode::UnknownField, "more"));
    CHECK(validateObject("profiles", "p", "no json").front().code == ConfigErrorCode::MalformedJson);
    CHECK(validateObject("colours", "c", "{}").front().code == ConfigErrorCode::UnknownKind);
    CHECK(validateObject("profiles", "p", R"({"class":"batch"})").empty());
}

TEST_CASE("an invalid object leaves the earlier valid one in force")
{
    ConfigurationBuilder builder;
    CHECK(builder.apply(object("profiles", "p", 1, R"({"class":"batch"})")).empty());
    CHECK_FALSE(builder.apply(object("profiles", "p", 2, R"({"class":"none"})")).empty());
    REQUIRE(builder.snapshot()->profile(ProfileId("p")) != nullptr);
    CHECK(builder.snapshot()->profile(ProfileId("p"))->trafficClass == TrafficClass::Batch);
}

TEST_CASE("objects may be received in any order and repeatedly; the highest version is in force")
{
    std::vector<VersionedObject> objects{
        object("profiles", "p", 1, R"({"class":"batch"})"),
        object("profiles", "p", 4, R"({"class":"stream"})"),
        object("services", "s", 2, R"({"kind":"model","profile":"p"})"),
        object("organisations", "o", 3, R"({"weight":2})"),
        object("organisations", "o", 5, ""),
    };
    objects.insert(objects.end(), objects.begin(), objects.end());
    std::mt19937_64 random(7);
    for (int round = 0; round < 100; ++round) {
        std::shuffle(objects.begin(), objects.end(), random);
        ConfigurationBuilder builder;
        for (const auto &changed : objects) {
            builder.apply(changed);
        }
        const auto configuration = builder.snapshot();
        CHECK(configuration->profile(ProfileId("p"))->trafficClass == TrafficClass::Stream);
        CHECK(configuration->service(ServiceId("s")) != nullptr);
        CHECK(configuration->organisation(OrganisationId("o")) == nullptr);
        CHECK(configuration->version() == 5);
    }
}

TEST_CASE("a service whose profile does not exist is not found")
{
    ConfigurationBuilder builder;
    builder.apply(object("services", "s", 1, R"({"kind":"model","profile":"p"})"));
    CHECK(builder.snapshot()->service(ServiceId("s")) == nullptr);
}

TEST_CASE("a token identifies its organisation until it is removed, and earlier snapshots are unchanged")
{
    ConfigurationBuilder builder;
    builder.apply(object("organisations", "o", 1, R"({"token_sha256":[")" + tokenHash("secret") + R"("]})"));
    const auto before = builder.snapshot();
    builder.apply(object("organisations", "o", 2, R"({"token_sha256":[]})"));
    REQUIRE(before->organisationByToken("secret") != nullptr);
    CHECK(before->organisationByToken("other") == nullptr);
    CHECK(builder.snapshot()->organisationByToken("secret") == nullptr);
}

TEST_CASE("a call to a plain service is non-idempotent unless the service lists it as idempotent")
{
    const auto parsed = parseService("s", R"({"kind":"plain","profile":"p","idempotent_calls":["GET /stock"]})");
    REQUIRE(parsed.has_value());
    const auto &service = parsed.value();
    CHECK(service.isIdempotent("GET", "/stock"));
    CHECK(service.isIdempotent("GET", "/stock/paper"));
    CHECK(service.isIdempotent("GET", "/stock?all"));
    CHECK_FALSE(service.isIdempotent("GET", "/stockpile"));
    CHECK_FALSE(service.isIdempotent("POST", "/stock"));
    CHECK_FALSE(service.isIdempotent("POST", "/payments"));
}

} // namespace Cardamomhill

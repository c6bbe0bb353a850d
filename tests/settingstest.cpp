#include "settings/settings.h"

#include "gateway/gatewaysettings.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace Cardamomhill
{

namespace
{

/// A settings file that is removed when the object is destroyed.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path("settingstest.yaml")
    {
        std::ofstream(m_path) << text;
    }

    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

bool contains(const SettingsErrors &errors, SettingsErrorCode code, const std::string &key, int line)
{
    for (const auto &error : errors) {
        if (error.code == code && error.key == key && error.line == line) {
            return true;
        }
    }
    return false;
}

const std::string ValidEntry = R"(host: entry-1
failure_domain: zona-norte
listen: 127.0.0.1:8080
operator_listen: "[::1]:8081"
control_listen: 127.0.0.1:8082
platform: 127.0.0.1:9000
seeds: [127.0.0.1:8083]
)";

} // namespace

TEST_CASE("streams are not moved between groups unless the settings ask for it")
{
    const std::string gateway = "host: a\nfailure_domain: d\nlisten: 127.0.0.1:1\noperator_listen: 127.0.0.1:2\n"
                                "peer_listen: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";
    const auto selectsGroups = [&](const std::string &line) {
        return readGatewaySettings(TemporaryFile(gateway + line).path()).value().selectsGroups;
    };
    CHECK_FALSE(selectsGroups(""));
    CHECK(selectsGroups("select_groups: true\n"));
}

TEST_CASE("valid settings are read unchanged")
{
    const TemporaryFile file(ValidEntry);
    const auto settings = readEntrySettings(file.path());
    REQUIRE(settings.has_value());
    CHECK(settings.value().host == HostId("entry-1"));
    CHECK(settings.value().operatorListen.port() == 8081);
    CHECK(settings.value().operatorListen.address().is_v6());
    CHECK(settings.value().seeds.size() == 1);
}

TEST_CASE("all errors are reported together, with their lines and the accepted values")
{
    const TemporaryFile file(R"(host: entry-1
listen: localhost:8080
operator_listen: 127.0.0.1:99999
control_listen: 127.0.0.1:8082
platform: 127.0.0.1
concurrency: many
log_level: loud
colour: red
)");
    const auto settings = readEntrySettings(file.path());
    REQUIRE(settings.has_error());
    const auto &errors = settings.error();
    CHECK(errors.size() == 7);
    CHECK(contains(errors, SettingsErrorCode::MissingKey, "failure_domain", 0));
    CHECK(contains(errors, SettingsErrorCode::InvalidValue, "listen", 2));
    CHECK(contains(errors, SettingsErrorCode::InvalidValue, "operator_listen", 3));
    CHECK(contains(errors, SettingsErrorCode::InvalidValue, "platform", 5));
    CHECK(contains(errors, SettingsErrorCode::InvalidValue, "concurrency", 6));
    CHECK(contains(errors, SettingsErrorCode::InvalidValue, "log_level", 7));
    CHECK(contains(errors, SettingsErrorCode::UnknownKey, "colour", 8));
    for (const auto &error : errors) {
        CHECK(error.message().find("accepted: ") != std::string::npos);
    }
}

TEST_CASE("the time of the kill after SIGTERM is read in seconds, with a fraction and within limits")
{
    CHECK(readEntrySettings(TemporaryFile(ValidEntry).path()).value().terminationGrace == Seconds(30));
    CHECK(readEntrySettings(TemporaryFile(ValidEntry + "termination_grace_s: 7.5\n").path()).value().terminationGrace
          == Milliseconds(7500));
    const TemporaryFile tooShort(ValidEntry + "termination_grace_s: 0.4\n");
    const auto settings = readEntrySettings(tooShort.path());
    REQUIRE(settings.has_error());
    CHECK(contains(settings.error(), SettingsErrorCode::InvalidValue, "termination_grace_s", 8));
}

TEST_CASE("the bounds of cold servers are read if they are present, and are not negative")
{
    const std::string gateway = "host: h\nfailure_domain: d\nlisten: 127.0.0.1:1\noperator_listen: 127.0.0.1:2\n"
                                "peer_listen: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";
    const auto read
        = [&](const std::string &lines) { return readGatewaySettings(TemporaryFile(gateway + lines).path()); };
    const auto bounds = read("cold_overshoot: 1.5\ncold_slack: 0\n");
    CHECK(bounds.value().coldOvershoot == 1.5);
    CHECK(bounds.value().coldSlack == 0.0);
    CHECK_FALSE(read("").value().coldOvershoot.has_value());
    CHECK_FALSE(read("").value().coldSlack.has_value());
    for (const std::string key : {"cold_overshoot", "cold_slack"}) {
        const auto odd = read(key + ": -1\n");
        REQUIRE(odd.has_error());
        CHECK(contains(odd.error(), SettingsErrorCode::InvalidValue, key, 7));
    }
}

TEST_CASE("how long engines hold prompts is read by name, and is while calls run if not stated")
{
    const std::string gateway = R"(host: entry-1
failure_domain: zona-norte
listen: 127.0.0.1:8080
operator_listen: 127.0.0.1:8081
peer_listen: 127.0.0.1:8082
platform: 127.0.0.1:9000
)";
    const auto retentionOf = [&gateway](const std::string &line) {
        return readGatewaySettings(TemporaryFile(gateway + line).path()).value().promptRetention;
    };
    CHECK(retentionOf("") == PromptRetention::Running);
    CHECK(retentionOf("prompt_retention: running\n") == PromptRetention::Running);
    CHECK(retentionOf("prompt_retention: cached\n") == PromptRetention::Cached);
    const TemporaryFile odd(gateway + "prompt_retention: always\n");
    const auto settings = readGatewaySettings(odd.path());
    REQUIRE(settings.has_error());
    CHECK(contains(settings.error(), SettingsErrorCode::InvalidValue, "prompt_retention", 7));
}

TEST_CASE("evacuations are followed only with a limit, which must be positive")
{
    const std::string gateway = R"(host: gate-1
failure_domain: d1
listen: 127.0.0.1:8080
operator_listen: 127.0.0.1:8081
peer_listen: 127.0.0.1:8082
platform: 127.0.0.1:9000
)";
    CHECK_FALSE(readGatewaySettings(TemporaryFile(gateway).path()).value().evacuationLimit);
    CHECK(readGatewaySettings(TemporaryFile(gateway + "evacuation_limit_ms: 5000\n").path()).value().evacuationLimit
          == Milliseconds(5000));
    const TemporaryFile zero(gateway + "evacuation_limit_ms: 0\n");
    const auto settings = readGatewaySettings(zero.path());
    REQUIRE(settings.has_error());
    CHECK(contains(settings.error(), SettingsErrorCode::InvalidValue, "evacuation_limit_ms", 7));
}

TEST_CASE("the memory of the host is read within limits, and is plentiful by default")
{
    constexpr std::uint32_t Default = 65'536;
    CHECK(readEntrySettings(TemporaryFile(ValidEntry).path()).value().memoryMegabytes == Default);
    CHECK(readEntrySettings(TemporaryFile(ValidEntry + "memory_megabytes: 112\n").path()).value().memoryMegabytes
          == 112);
    const TemporaryFile tooSmall(ValidEntry + "memory_megabytes: 31\n");
    const auto settings = readEntrySettings(tooSmall.path());
    REQUIRE(settings.has_error());
    CHECK(contains(settings.error(), SettingsErrorCode::InvalidValue, "memory_megabytes", 8));
}

TEST_CASE("a missing file and malformed YAML have their own error codes")
{
    CHECK(readAgentSettings("no-such-file.yaml").error().front().code == SettingsErrorCode::Unreadable);
    // Reading a directory fails with an exception that is not one of yaml-cpp, and must not end the program.
    CHECK(readAgentSettings(".").error().front().code == SettingsErrorCode::Unreadable);
    const TemporaryFile broken("host: [entry-1\n");
    CHECK(readEntrySettings(broken.path()).error().front().code == SettingsErrorCode::MalformedYaml);
    const TemporaryFile list("- a\n- b\n");
    CHECK(readEntrySettings(list.path()).error().front().code == SettingsErrorCode::MalformedYaml);
}

} // namespace Cardamomhill

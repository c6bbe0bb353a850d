#include "net/asio.h"
#include "soak/childprocess.h"
#include "standins/platformstore.h"
#include "support/configurationdocuments.h"
#include "support/freeendpoint.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <sys/wait.h>

using namespace Cardamomhill;

namespace
{

std::string textOfFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct CommandRun {
    int status = -1;
    std::string output;
    std::string errors;
};

/// Runs `check-config` on files in a directory of its own, beside a stand-in store in this process.
class Command
{
public:
    Command()
        : m_directory(std::filesystem::temp_directory_path() / ("checkconfig-" + std::to_string(getpid())))
        , m_storeEndpoint(freeEndpoint(m_context))
        , m_store(m_context)
    {
        std::filesystem::create_directories(m_directory);
        REQUIRE(m_store.listen(m_storeEndpoint).has_value());
    }

    ~Command()
    {
        std::filesystem::remove_all(m_directory);
    }

    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;

    PlatformStore &store()
    {
        return m_store;
    }

    std::string storeOption() const
    {
        return " --store 127.0.0.1:" + std::to_string(m_storeEndpoint.port());
    }

    /// Returns the path of a new file.
    std::string file(const std::string &name, const std::string &text) const
    {
        auto path = (m_directory / name).string();
        std::ofstream(path) << text;
        return path;
    }

    CommandRun run(const std::string &arguments)
    {
        const auto output = (m_directory / "output").string();
        const auto errors = (m_directory / "errors").string();
        const auto command = std::string(std::getenv("CARDAMOMHILL_PROGRAM")) + " check-config " + arguments + " >"
            + output + " 2>" + errors;
        ChildProcess process({"/bin/sh", "-c", command}, (m_directory / "shell").string());
        while (!process.hasEnded()) {
            m_context.restart();
            m_context.run_for(Milliseconds(5));
        }
        REQUIRE(WIFEXITED(process.status()));
        return {WEXITSTATUS(process.status()), textOfFile(output), textOfFile(errors)};
    }

private:
    std::filesystem::path m_directory;
    asio::io_context m_context;
    tcp::endpoint m_storeEndpoint;
    PlatformStore m_store;
};

constexpr int NoFindings = 0;
constexpr int HasFindings = 1;
constexpr int NotChecked = 2;

const std::string SettingsText = "host: a\nfailure_domain: d1\nlisten: 127.0.0.1:1\noperator_listen: 127.0.0.1:2\n"
                                 "peer_listen: 127.0.0.1:3\nplatform: 127.0.0.1:4\nretry_ratio: 0\nretry_slack: 1\n";

const std::string AttemptsLine = "finding=attempts-above-retry-budget path=routes[0].max-attempts value=3 limit=2\n";

} // namespace

TEST_CASE("a document is checked from a file or from standard input, with settings and against a saved version")
{
    Command command;
    const auto sound = command.file("sound.json", soundDocument().dump());
    const auto next = command.file("next.json", documentWith("/version", 8).dump());
    const auto settings = command.file("settings.yaml", SettingsText);
    auto run = command.run(sound);
    CHECK(run.status == NoFindings);
    CHECK(run.output.empty());
    CHECK(run.errors.empty());
    CHECK(command.run("- <" + sound).status == NoFindings);
    CHECK(command.run(next + " --against " + sound).status == NoFindings);
    run = command.run(sound + " --settings " + settings);
    CHECK(run.status == HasFindings);
    CHECK(run.output == AttemptsLine);
    const auto large = command.file("large.json", documentWith("/limits/max-body-bytes", 8'388'609).dump());
    run = command.run(large + " --settings " + command.file("small.yaml", SettingsText + "memory_megabytes: 32\n"));
    CHECK(run.output
          == AttemptsLine + "finding=body-limit-above-budget path=limits.max-body-bytes value=8388609 limit=8388608\n");
    run = command.run(sound + " --against " + next);
    CHECK(run.status == HasFindings);
    CHECK(run.output == "finding=version-not-newer path=version old=8 new=7\n");
}

// Guards against an operator, or a script, that takes a check that did not happen for a sound document.
TEST_CASE("inputs that cannot be read end the check with status 2 and no findings")
{
    Command command;
    const auto broken = command.file("broken.json", documentWith("/routes/0/timeout-ms", -1).dump());
    const auto checkFails = [&command](const std::string &arguments, const std::string &error) {
        const auto run = command.run(arguments);
        CHECK_MESSAGE(run.status == NotChecked, arguments);
        CHECK(run.output.empty());
        CHECK_MESSAGE(run.errors.find(error) != std::string::npos, run.errors);
    };
    checkFails("/nonexistent.json", "/nonexistent.json: cannot be read");
    checkFails("/tmp", "/tmp: cannot be read");
    checkFails(command.file("text.json", "{\"version\":7,"), "JSON: malformed at byte");
    checkFails(command.file("deep.json", std::string(100'000, '[')), "JSON: too-deep at byte");
    checkFails(command.file("number.json", "{\"version\":1e999}"), "JSON: number-too-large");
    checkFails(broken + " --against /nonexistent.json", "/nonexistent.json: cannot be read");
    checkFails(broken + " --against " + broken,
               "rejected by gateways: finding=field-rejected path=routes[0].timeout-ms");
    checkFails(broken + " --settings /nonexistent.yaml", "/nonexistent.yaml: file cannot be read");
    checkFails(broken + " --settings /tmp", "/tmp: file cannot be read");
    checkFails("", "usage: cardamomhill check-config");
    checkFails(broken + " " + broken, "usage: cardamomhill check-config");
    checkFails(broken + " --store nowhere", "usage: cardamomhill check-config");
    checkFails(broken + " --against " + broken + command.storeOption(), "usage: cardamomhill check-config");
    checkFails("- --against - <" + broken, "usage: cardamomhill check-config");
    checkFails(broken + " --unknown", "unrecognized option");
    // Guards against a script whose variable is not set, which would take a missing comparison for no differences.
    for (const std::string option : {" --against ''", " --store ''", " --settings ''"}) {
        checkFails(broken + option, "an option has an empty value");
    }
}

TEST_CASE("the configuration in force is read with one call and no write, and no key is printed")
{
    Command command;
    auto document = documentWith("/version", 8);
    document["tenants"][0]["api-keys"] = {"secret-1", "secret-9"};
    const auto file = command.file("next.json", document.dump());
    command.store().put("config", "main", soundDocument());
    const auto stored = command.store().object("config", "main");
    const auto run = command.run(file + command.storeOption());
    CHECK(run.status == HasFindings);
    CHECK(run.output == "finding=keys-changed path=tenants[0].api-keys organisation=workshop added=1 removed=1\n");
    CHECK(run.errors.empty());
    CHECK(command.store().callCount() == 1);
    CHECK(command.store().object("config", "main") == stored);
}

TEST_CASE("without an answer of the store the other findings are printed and the status is 2")
{
    Command command;
    const auto settings = command.file("settings.yaml", SettingsText);
    const auto file = command.file("sound.json", soundDocument().dump()) + " --settings " + settings;
    const auto checkFails = [&](const std::string &store, const std::string &error) {
        const auto run = command.run(file + store);
        CHECK_MESSAGE(run.status == NotChecked, error);
        CHECK(run.output == AttemptsLine);
        CHECK_MESSAGE(run.errors.find(error) != std::string::npos, run.errors);
    };
    checkFails(command.storeOption(), "platform: not-found");
    command.store().setDown(true);
    checkFails(command.storeOption(), "platform: unavailable");
    command.store().setDown(false);
    command.store().putRaw("config", "main", "{\"version\":");
    checkFails(command.storeOption(), "JSON: malformed at byte");
    command.store().put("config", "main", documentWith("/routes/0/timeout-ms", -1));
    checkFails(command.storeOption(), "rejected by gateways");
    command.store().setSilent(true);
    checkFails(command.storeOption(), "platform: unavailable");
    asio::io_context context;
    checkFails(" --store 127.0.0.1:" + std::to_string(freeEndpoint(context).port()), "platform: not-sent");
}

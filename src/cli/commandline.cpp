#include "cli/commandline.h"

#include "agent/agentprogram.h"
#include "cli/checkconfigcommand.h"
#include "cli/commandoptions.h"
#include "cli/explaincommand.h"
#include "cli/gatewaycommand.h"
#include "cli/objectcommand.h"
#include "cli/slotscommand.h"
#include "cli/statuscommand.h"
#include "entry/entryprogram.h"
#include "gateway/gatewaysettings.h"
#include "logging/logging.h"
#include "settings/agentsettings.h"
#include "settings/entrysettings.h"

#include <iostream>
#include <map>
#include <string_view>

namespace Cardamomhill
{

using internal::CommandOptions;

namespace
{

constexpr std::string_view Version = "cardamomhill 0.1.0";

constexpr std::string_view Usage = R"(Usage: cardamomhill COMMAND [OPTIONS]

Processes:
  entry  --settings FILE            serve callers on an entry host
  agent  --settings FILE            serve entry processes on a backend server host
  gateway --settings FILE           serve callers on an entry host of the users' platform

Configuration (KIND is profile, service, organisation or backendserver):
  KIND create NAME --platform ADDRESS:PORT [--set FIELD=VALUE ...] [--file FILE]
  KIND change NAME --platform ADDRESS:PORT [--set FIELD=VALUE ...] [--file FILE]
  KIND retire NAME --platform ADDRESS:PORT
  KIND list        --platform ADDRESS:PORT
  slots create SERVICE   --platform ADDRESS:PORT
                                    divide the idempotency keys of a plain service among its backend servers
  slots reassign SERVICE --platform ADDRESS:PORT --host-stopped
                                    move the slots of retired backend servers whose hosts were stopped
  slots list SERVICE     --platform ADDRESS:PORT

Checks:
  config check entry FILE           check the settings of an entry process
  config check agent FILE           check the settings of an agent
  config check gateway FILE         check the settings of a gateway
  config check KIND NAME FILE       check the JSON value of a configuration object
  check-config FILE [--settings FILE] [--against FILE | --store ADDRESS:PORT]
                                    check a configuration document of the users' platform (- for standard input),
                                    and compare it with a saved one or with the one in force
  status --operator-port ADDRESS:PORT
                                    print the state of a process
  explain ID FILE...                print what the logs of processes say about a request

Options:
  -h, --help     print this text
  -V, --version  print the version

Exit status: 0 success, 1 runtime error, 2 wrong usage, 3 mistakes in settings or configuration.
check-config: 0 no findings, 1 findings, 2 not checked.
)";

template<class Errors>
ExitStatus printErrors(const Errors &errors)
{
    for (const auto &error : errors) {
        std::cerr << error.message() << '\n';
    }
    return ExitStatus::SettingsError;
}

ExitStatus usageError()
{
    std::cerr << Usage;
    return ExitStatus::UsageError;
}

/// Runs a process with validated settings, or prints the errors in the settings.
template<class Settings, class Program>
ExitStatus
runProcess(const Result<Settings, SettingsErrors> &settings, Program program, void (*openLog)(LogLevel) = &startLogging)
{
    if (settings.has_error()) {
        return printErrors(settings.error());
    }
    openLog(settings.value().logLevel);
    const auto ended = program(settings.value());
    if (ended.has_error()) {
        logEvent(LogLevel::Error, "start-failed", {{"error", ended.error().message()}});
    }
    stopLogging();
    return ended.has_error() ? ExitStatus::RuntimeError : ExitStatus::Success;
}

ExitStatus entryCommand(const CommandOptions &options)
{
    return runProcess(readEntrySettings(options.settingsFile), runEntry);
}

ExitStatus agentCommand(const CommandOptions &options)
{
    return runProcess(readAgentSettings(options.settingsFile), runAgent);
}

ExitStatus gatewayCommand(const CommandOptions &options)
{
    return runProcess(readGatewaySettings(options.settingsFile), runGatewayOnPlatform, &startBufferedLogging);
}

template<class Settings>
ExitStatus checkSettings(const Result<Settings, SettingsErrors> &settings)
{
    return settings.has_error() ? printErrors(settings.error()) : ExitStatus::Success;
}

ExitStatus configCommand(const CommandOptions &options)
{
    const auto &words = options.words;
    if (words.size() == 4 && words[1] == "check" && words[2] == "entry") {
        return checkSettings(readEntrySettings(words[3]));
    }
    if (words.size() == 4 && words[1] == "check" && words[2] == "agent") {
        return checkSettings(readAgentSettings(words[3]));
    }
    if (words.size() == 4 && words[1] == "check" && words[2] == "gateway") {
        return checkSettings(readGatewaySettings(words[3]));
    }
    if (words.size() == 5 && words[1] == "check") {
        return checkObjectFile(words[2], words[3], words[4]);
    }
    return usageError();
}

bool needsSettings(std::string_view command)
{
    return command == "entry" || command == "agent" || command == "gateway";
}

} // namespace

ExitStatus runCommandLine(int argc, char **argv)
{
    const auto options = internal::parseOptions(argc, argv);
    if (!options) {
        return usageError();
    }
    if (options->help) {
        std::cout << Usage;
        return ExitStatus::Success;
    }
    if (options->version) {
        std::cout << Version << '\n';
        return ExitStatus::Success;
    }
    using Command = ExitStatus (*)(const CommandOptions &);
    static const std::map<std::string_view, Command> Commands{
        {"agent", &agentCommand},
        {"backendserver", &objectCommand},
        {"check-config", &checkConfigCommand},
        {"config", &configCommand},
        {"entry", &entryCommand},
        {"explain", &explainCommand},
        {"gateway", &gatewayCommand},
        {"organisation", &objectCommand},
        {"profile", &objectCommand},
        {"service", &objectCommand},
        {"slots", &slotsCommand},
        {"status", &statusCommand},
    };
    const auto command = options->words.empty() ? Commands.end() : Commands.find(options->words.front());
    if (command == Commands.end() || (needsSettings(command->first) && options->settingsFile.empty())) {
        return usageError();
    }
    return command->second(*options);
}

} // namespace Cardamomhill

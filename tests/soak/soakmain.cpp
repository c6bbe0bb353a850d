#include "core/parsenumber.h"
#include "soak/plannedstops.h"

#include <exception>
#include <iostream>
#include <string>

#include <getopt.h>

namespace
{

constexpr double Percent = 100;

const char *const Usage
    = "usage: cardamomhill-soak --program FILE --directory DIR [--seed N] [--seconds N] [--hosts N] "
      "[--servers N] [--callers N] [--evacuations] [--cold-returns] [--outages | --urgency]\n"
      "[--without-settings] [--planned-stops [--grace-ms N] [--no-grace-setting] [--pauses]\n"
      "[--signal-delay-ms N] [--domains N]\n"
      "[--groups N [--ranks N] [--answer-delay-ms N] [--execution-delay-ms N] [--lost-answers PERCENT] "
      "[--preemptions PERCENT] [--reformations PERCENT]]]\n";

int report(std::uint64_t seed,
           const Cardamomhill::Ledger &ledger,
           const std::map<std::string, std::size_t> &counts,
           const std::string &countSuffix)
{
    std::cout << "seed " << seed << ':';
    for (const auto &[outcome, count] : ledger.outcomes()) {
        std::cout << ' ' << outcome << '=' << count;
    }
    for (const auto &[name, count] : counts) {
        std::cout << ' ' << name << countSuffix << '=' << count;
    }
    std::cout << '\n';
    const auto violations = ledger.violations();
    for (const auto &violation : violations) {
        std::cout << "VIOLATION " << violation << '\n';
    }
    return violations.empty() ? 0 : 1;
}

} // namespace

/// Exit status 0 if every guarantee held, 1 if one was violated or the soak failed, 2 for invalid arguments.
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    PlannedStopOptions stopOptions;
    auto &options = stopOptions.soak;
    bool isPlannedStops = false;
    const option longOptions[] = {{"program", required_argument, nullptr, 'p'},
                                  {"directory", required_argument, nullptr, 'd'},
                                  {"seed", required_argument, nullptr, 's'},
                                  {"seconds", required_argument, nullptr, 't'},
                                  {"hosts", required_argument, nullptr, 'h'},
                                  {"servers", required_argument, nullptr, 'b'},
                                  {"callers", required_argument, nullptr, 'c'},
                                  {"evacuations", no_argument, nullptr, 'e'},
                                  {"cold-returns", no_argument, nullptr, 'C'},
                                  {"outages", no_argument, nullptr, 'O'},
                                  {"urgency", no_argument, nullptr, 'U'},
                                  {"without-settings", no_argument, nullptr, 'W'},
                                  {"planned-stops", no_argument, nullptr, 'P'},
                                  {"grace-ms", required_argument, nullptr, 'g'},
                                  {"reformations", required_argument, nullptr, 'F'},
                                  {"signal-delay-ms", required_argument, nullptr, 'S'},
                                  {"domains", required_argument, nullptr, 'D'},
                                  {"pauses", no_argument, nullptr, 'q'},
                                  {"no-grace-setting", no_argument, nullptr, 'n'},
                                  {"groups", required_argument, nullptr, 'G'},
                                  {"ranks", required_argument, nullptr, 'R'},
                                  {"answer-delay-ms", required_argument, nullptr, 'A'},
                                  {"execution-delay-ms", required_argument, nullptr, 'E'},
                                  {"lost-answers", required_argument, nullptr, 'L'},
                                  {"preemptions", required_argument, nullptr, 'M'},
                                  {nullptr, 0, nullptr, 0}};
    int optionId = 0;
    bool isValid = true;
    while ((optionId = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        const auto number = optarg == nullptr ? 0 : parseNumber<std::uint64_t>(optarg).value_or(0);
        if (optionId == 'p') {
            options.program = optarg;
        } else if (optionId == 'd') {
            options.directory = optarg;
        } else if (optionId == 'e') {
            options.hasEvacuations = true;
        } else if (optionId == 'C') {
            options.hasColdReturns = true;
        } else if (optionId == 'O') {
            options.hasOutages = true;
        } else if (optionId == 'U') {
            options.hasUrgency = true;
        } else if (optionId == 'W') {
            options.lacksSettings = true;
        } else if (optionId == 'P') {
            isPlannedStops = true;
        } else if (optionId == 'q') {
            stopOptions.hasPauses = true;
        } else if (optionId == 'n') {
            stopOptions.hasGraceSetting = false;
        } else if (number == 0) {
            isValid = false;
        } else if (optionId == 'G') {
            stopOptions.groups = number;
        } else if (optionId == 'F') {
            stopOptions.group.reformations = static_cast<double>(number) / Percent;
        } else if (optionId == 'S') {
            stopOptions.maxSignalDelay = Milliseconds(number);
        } else if (optionId == 'D') {
            stopOptions.failureDomains = number;
        } else if (optionId == 'R') {
            stopOptions.group.ranks = number;
        } else if (optionId == 'A') {
            stopOptions.group.maxAnswerDelay = Milliseconds(number);
        } else if (optionId == 'E') {
            stopOptions.group.maxExecutionDelay = Milliseconds(number);
        } else if (optionId == 'L') {
            stopOptions.group.lostAnswers = static_cast<double>(number) / Percent;
        } else if (optionId == 'M') {
            stopOptions.group.preemptions = static_cast<double>(number) / Percent;
        } else if (optionId == 's') {
            options.seed = number;
        } else if (optionId == 'g') {
            stopOptions.terminationGrace = Milliseconds(number);
        } else if (optionId == 't') {
            options.duration = Seconds(number);
        } else if (optionId == 'h') {
            options.hosts = number;
        } else if (optionId == 'b') {
            options.servers = number;
        } else {
            options.callers = number;
        }
    }
    isValid = isValid && !(options.hasOutages && options.hasUrgency);
    if (!isValid || options.program.empty() || options.directory.empty()) {
        std::cerr << Usage;
        return 2;
    }
    try {
        if (isPlannedStops) {
            PlannedStops stops(stopOptions);
            stops.run();
            return report(options.seed, stops.ledger(), stops.counts(), "");
        }
        Soak soak(options);
        soak.run();
        return report(options.seed, soak.ledger(), soak.checks(), "-checks");
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

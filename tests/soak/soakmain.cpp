#include "core/parsenumber.h"
#include "soak/soak.h"

#include <exception>
#include <iostream>
#include <string>

#include <getopt.h>

namespace
{

const char *const Usage
    = "usage: cardamomhill-soak --program FILE --directory DIR [--seed N] [--seconds N] [--hosts N] "
      "[--servers N] [--callers N]\n";

} // namespace

/// Exit status 0 if every guarantee held, 1 if one was violated or the soak failed, 2 for invalid arguments.
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    SoakOptions options;
    const option longOptions[] = {{"program", required_argument, nullptr, 'p'},
                                  {"directory", required_argument, nullptr, 'd'},
                                  {"seed", required_argument, nullptr, 's'},
                                  {"seconds", required_argument, nullptr, 't'},
                                  {"hosts", required_argument, nullptr, 'h'},
                                  {"servers", required_argument, nullptr, 'b'},
                                  {"callers", required_argument, nullptr, 'c'},
                                  {nullptr, 0, nullptr, 0}};
    int optionId = 0;
    bool isValid = true;
    while ((optionId = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        const auto number = optionId == '?' ? 0 : parseNumber<std::uint64_t>(optarg).value_or(0);
        if (optionId == 'p') {
            options.program = optarg;
        } else if (optionId == 'd') {
            options.directory = optarg;
        } else if (number == 0) {
            isValid = false;
        } else if (optionId == 's') {
            options.seed = number;
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
    if (!isValid || options.program.empty() || options.directory.empty()) {
        std::cerr << Usage;
        return 2;
    }
    try {
        Soak soak(options);
        soak.run();
        std::cout << "seed " << options.seed << ':';
        for (const auto &[outcome, count] : soak.ledger().outcomes()) {
            std::cout << ' ' << outcome << '=' << count;
        }
        for (const auto &[check, count] : soak.checks()) {
            std::cout << ' ' << check << "-checks=" << count;
        }
        std::cout << '\n';
        const auto violations = soak.ledger().violations();
        for (const auto &violation : violations) {
            std::cout << "VIOLATION " << violation << '\n';
        }
        return violations.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

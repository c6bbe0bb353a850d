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

/// Exit status 0 if every promise was kept, 1 if one was broken, 2 for wrong arguments.
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    SoakOptions options;
    const option names[] = {{"program", required_argument, nullptr, 'p'},
                            {"directory", required_argument, nullptr, 'd'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"hosts", required_argument, nullptr, 'h'},
                            {"servers", required_argument, nullptr, 'b'},
                            {"callers", required_argument, nullptr, 'c'},
                            {nullptr, 0, nullptr, 0}};
    int name = 0;
    bool isValid = true;
    while ((name = getopt_long(argc, argv, "", names, nullptr)) != -1) {
        const auto number = name == '?' ? 0 : parseNumber<std::uint64_t>(optarg).value_or(0);
        if (name == 'p') {
            options.program = optarg;
        } else if (name == 'd') {
            options.directory = optarg;
        } else if (number == 0) {
            isValid = false;
        } else if (name == 's') {
            options.seed = number;
        } else if (name == 't') {
            options.length = Seconds(number);
        } else if (name == 'h') {
            options.hosts = number;
        } else if (name == 'b') {
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
            std::cout << "BROKEN " << violation << '\n';
        }
        return violations.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

#include "soak/soak.h"

#include <charconv>
#include <exception>
#include <iostream>
#include <string>

#include <getopt.h>

namespace
{

const char *const Usage
    = "usage: cardamomhill-soak --program FILE --directory DIR [--seed N] [--seconds N] [--hosts N] "
      "[--servers N] [--callers N]\n";

bool readNumber(const char *text, std::uint64_t &number)
{
    const std::string_view view(text);
    const auto [end, error] = std::from_chars(view.data(), view.data() + view.size(), number);
    return error == std::errc() && end == view.data() + view.size() && number > 0;
}

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
        std::uint64_t number = 0;
        if (name == 'p') {
            options.program = optarg;
        } else if (name == 'd') {
            options.directory = optarg;
        } else if (name == '?' || !readNumber(optarg, number)) {
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

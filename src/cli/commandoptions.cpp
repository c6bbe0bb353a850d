#include "cli/commandoptions.h"

#include <array>
#include <iostream>

#include <getopt.h>

namespace Cardamomhill::internal
{

namespace
{

constexpr std::array<option, 11> LongOptions{{
    {"settings", required_argument, nullptr, 's'},
    {"platform", required_argument, nullptr, 'p'},
    {"operator-port", required_argument, nullptr, 'o'},
    {"set", required_argument, nullptr, 'f'},
    {"file", required_argument, nullptr, 'i'},
    {"host-stopped", no_argument, nullptr, 'S'},
    {"against", required_argument, nullptr, 'a'},
    {"store", required_argument, nullptr, 't'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'V'},
    {nullptr, 0, nullptr, 0},
}};

bool storeOption(CommandOptions &options, int letter)
{
    switch (letter) {
    case 's':
        options.settingsFile = optarg;
        return true;
    case 'p':
        options.platform = optarg;
        return true;
    case 'o':
        options.operatorPort = optarg;
        return true;
    case 'f':
        options.assignments.emplace_back(optarg);
        return true;
    case 'i':
        options.valueFile = optarg;
        return true;
    case 'a':
        options.againstFile = optarg;
        return true;
    case 't':
        options.store = optarg;
        return true;
    case 'S':
        options.hostStopped = true;
        return true;
    case 'h':
        options.help = true;
        return true;
    case 'V':
        options.version = true;
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<CommandOptions> parseOptions(int argc, char **argv)
{
    CommandOptions options;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "s:p:o:f:i:hV", LongOptions.data(), nullptr)) != -1) {
        // An empty value, as of a variable that is not set, must not count as an option that is not given.
        if (optarg != nullptr && *optarg == '\0') {
            std::cerr << argv[0] << ": an option has an empty value\n";
            return std::nullopt;
        }
        // getopt_long has printed the error.
        if (!storeOption(options, letter)) {
            return std::nullopt;
        }
    }
    options.words.assign(argv + optind, argv + argc);
    return options;
}

} // namespace Cardamomhill::internal

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill::internal
{

/// The words and options of a command line.
struct CommandOptions {
    std::vector<std::string> words;
    std::string settingsFile;
    std::string platform;
    std::string operatorPort;
    /// "field=value" of --set; the value is JSON, or else a string.
    std::vector<std::string> assignments;
    std::string valueFile;
    /// The operator confirms that the hosts of retired backend servers were stopped.
    bool hostStopped = false;
    bool help = false;
    bool version = false;
};

/// Reads the command line with getopt_long. Returns nothing after it has printed what is wrong.
std::optional<CommandOptions> parseOptions(int argc, char **argv);

} // namespace Cardamomhill::internal

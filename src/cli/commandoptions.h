#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cardamomhill::internal
{

/// A parsed command line: the command with its arguments, and the options.
struct CommandOptions {
    /// The command and its arguments, without options.
    std::vector<std::string> words;
    std::string settingsFile;
    std::string platform;
    std::string operatorPort;
    /// Arguments of --set, as "field=value". A value that is not valid JSON is taken as a string.
    std::vector<std::string> assignments;
    std::string valueFile;
    /// A saved configuration document to compare with.
    std::string againstFile;
    /// Address of the store with the configuration in force to compare with.
    std::string store;
    /// The operator confirms that the hosts of retired backend servers were stopped.
    bool hostStopped = false;
    bool help = false;
    bool version = false;
};

/// Parses the command line. On an error prints it and returns nothing.
std::optional<CommandOptions> parseOptions(int argc, char **argv);

} // namespace Cardamomhill::internal

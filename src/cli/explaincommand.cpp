#include "cli/explaincommand.h"

#include "cli/commandoptions.h"
#include "explain/requesthistory.h"

#include <fstream>
#include <iostream>

namespace Cardamomhill
{

ExitStatus explainCommand(const internal::CommandOptions &options)
{
    constexpr std::size_t FirstFile = 2;
    const auto &words = options.words;
    if (words.size() <= FirstFile) {
        std::cerr << "usage: cardamomhill explain ID FILE...\n";
        return ExitStatus::UsageError;
    }
    RequestHistory history(words[1]);
    for (std::size_t i = FirstFile; i < words.size(); ++i) {
        std::ifstream file(words[i]);
        if (!file) {
            std::cerr << words[i] << ": cannot be read\n";
            return ExitStatus::RuntimeError;
        }
        std::string line;
        while (std::getline(file, line)) {
            history.addLine(words[i], line);
        }
    }
    if (!history.hasRequest()) {
        std::cerr << "no log line is about the request " << words[1] << '\n';
        return ExitStatus::RuntimeError;
    }
    history.print(std::cout);
    return ExitStatus::Success;
}

} // namespace Cardamomhill

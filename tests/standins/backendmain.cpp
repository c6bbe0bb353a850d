#include "standins/backendservice.h"

#include "net/address.h"

#include <cstdlib>
#include <iostream>

/// Usage: standin-backend ADDRESS:PORT STEP_TIME_MS
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    const auto endpoint = argc == 3 ? parseAddress(argv[1]) : std::nullopt;
    const long stepTime = argc == 3 ? std::strtol(argv[2], nullptr, 10) : 0;
    if (!endpoint || stepTime <= 0) {
        std::cerr << "usage: standin-backend ADDRESS:PORT STEP_TIME_MS\n";
        return 2;
    }
    asio::io_context context;
    BackendService service(context, Milliseconds(stepTime));
    const auto listening = service.listen(*endpoint);
    if (listening.has_error()) {
        std::cerr << listening.error().message() << '\n';
        return 1;
    }
    context.run();
    return 0;
}

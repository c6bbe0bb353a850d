#include "standins/platformstore.h"

#include "net/address.h"

#include <iostream>

/// Usage: standin-store ADDRESS:PORT
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    const auto endpoint = argc == 2 ? parseAddress(argv[1]) : std::nullopt;
    if (!endpoint) {
        std::cerr << "usage: standin-store ADDRESS:PORT\n";
        return 2;
    }
    asio::io_context context;
    PlatformStore store(context);
    const auto listening = store.listen(*endpoint);
    if (listening.has_error()) {
        std::cerr << listening.error().message() << '\n';
        return 1;
    }
    context.run();
    return 0;
}

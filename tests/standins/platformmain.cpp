#include "standins/objectplatform.h"

#include "net/address.h"

#include <iostream>

/// Usage: standin-platform ADDRESS:PORT
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    const auto endpoint = argc == 2 ? parseAddress(argv[1]) : std::nullopt;
    if (!endpoint) {
        std::cerr << "usage: standin-platform ADDRESS:PORT\n";
        return 2;
    }
    asio::io_context context;
    ObjectPlatform platform(context);
    const auto listening = platform.listen(*endpoint);
    if (listening.has_error()) {
        std::cerr << listening.error().message() << '\n';
        return 1;
    }
    context.run();
    return 0;
}

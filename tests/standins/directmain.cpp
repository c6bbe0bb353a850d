#include "standins/directbackend.h"

#include "net/address.h"

#include <iostream>

/// Usage: standin-direct ADDRESS:PORT ID
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    const auto endpoint = argc == 3 ? parseAddress(argv[1]) : std::nullopt;
    if (!endpoint) {
        std::cerr << "usage: standin-direct ADDRESS:PORT ID\n";
        return 2;
    }
    asio::io_context context;
    DirectBackend backend(context, argv[2]);
    const auto listening = backend.listen(*endpoint);
    if (listening.has_error()) {
        std::cerr << listening.error().message() << '\n';
        return 1;
    }
    context.run();
    return 0;
}

#include "standins/blackholeproxy.h"

#include "net/address.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <iostream>

/// Usage: standin-proxy ADDRESS:PORT TARGET_ADDRESS:PORT. SIGUSR1 makes all open connections drop their data.
int main(int argc, char **argv)
{
    using namespace Cardamomhill;

    const auto listen = argc == 3 ? parseAddress(argv[1]) : std::nullopt;
    const auto target = argc == 3 ? parseAddress(argv[2]) : std::nullopt;
    if (!listen || !target) {
        std::cerr << "usage: standin-proxy ADDRESS:PORT TARGET_ADDRESS:PORT\n";
        return 2;
    }
    asio::io_context context;
    BlackholeProxy proxy(context, *listen, *target);
    proxy.start();
    asio::signal_set signals(context, SIGUSR1);
    std::function<void(SystemError, int)> onSignal = [&](SystemError error, int) {
        if (!error) {
            proxy.dropData();
            signals.async_wait(onSignal);
        }
    };
    signals.async_wait(onSignal);
    context.run();
    return 0;
}

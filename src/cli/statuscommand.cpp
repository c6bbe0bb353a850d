#include "cli/statuscommand.h"

#include "cli/commandoptions.h"
#include "cli/runtoend.h"
#include "net/address.h"
#include "net/httpclient.h"

#include <iostream>

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds CallTimeout{5000};

Task<ExitStatus> printStatus(HttpClient &client)
{
    const auto response = co_await client.call(makeHttpRequest("GET", "/status"), CallTimeout);
    if (response.has_error()) {
        std::cerr << response.error().error.message() << '\n';
        co_return ExitStatus::RuntimeError;
    }
    std::cout << response.value().body << '\n';
    co_return ExitStatus::Success;
}

} // namespace

ExitStatus statusCommand(const internal::CommandOptions &options)
{
    const auto endpoint = parseAddress(options.operatorPort);
    if (!endpoint) {
        std::cerr << "--operator-port ADDRESS:PORT is missing or invalid\n";
        return ExitStatus::UsageError;
    }
    asio::io_context context;
    HttpClient client(context, *endpoint);
    return internal::runToEnd(context, printStatus(client));
}

} // namespace Cardamomhill

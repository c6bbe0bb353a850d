#include "soak/storewriter.h"

#include "net/httpclient.h"
#include "net/steadynow.h"
#include "soak/ledger.h"

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds MaxWriteTime{20000};
constexpr Milliseconds RepeatInterval{50};
constexpr Milliseconds StoreCallTimeout{1000};
constexpr unsigned FirstError = 300;
constexpr unsigned NotFound = 404;

} // namespace

StoreWriter::StoreWriter(asio::io_context &context, const tcp::endpoint &store, Ledger &ledger)
    : m_context(context)
    , m_store(store)
    , m_ledger(ledger)
{
}

Task<SteadyTime> StoreWriter::write(std::string method, std::string path, std::string document)
{
    HttpClient client(m_context, m_store);
    const auto deadline = steadyNow() + MaxWriteTime;
    while (true) {
        auto request = makeHttpRequest(method, path, document);
        const auto response = co_await client.call(std::move(request), StoreCallTimeout);
        // An earlier try may have been applied although its answer was lost: then a POST finds that the object exists,
        // and a DELETE that it is gone.
        const bool isDone = response.has_value()
            && (response.value().status < FirstError || response.value().status == NotFound
                || (method == "POST" && response.value().status == 409));
        if (isDone) {
            co_return steadyNow();
        }
        if (steadyNow() > deadline) {
            m_ledger.addViolation("stand-in",
                                  "the store does not accept " + std::string(method).append(" ").append(path));
            co_return steadyNow();
        }
        asio::steady_timer timer(m_context, RepeatInterval);
        SystemError ignored;
        co_await timer.async_wait(storeError(ignored));
    }
}

Task<> StoreWriter::setFaults(std::string faults)
{
    HttpClient client(m_context, m_store);
    auto request = makeHttpRequest("POST", "/faults", faults);
    const auto response = co_await client.call(std::move(request), StoreCallTimeout);
    if (response.has_error()) {
        m_ledger.addViolation("stand-in", "the store did not set its faults: " + response.error().error.message());
    }
}

} // namespace Cardamomhill

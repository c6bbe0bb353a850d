#include "net/httpclient.h"
#include "net/steadynow.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <vector>

using namespace Cardamomhill;

namespace
{

/// A listening socket whose queue is full, so that the kernel drops the opening packets of further connections.
class DeafListener
{
public:
    explicit DeafListener(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        listen(m_acceptor.native_handle(), 0);
        constexpr int Fillers = 8;
        for (int i = 0; i < Fillers; ++i) {
            m_fillers.emplace_back(context);
            m_fillers.back().async_connect(m_acceptor.local_endpoint(), [](SystemError) {});
        }
        context.run_for(std::chrono::milliseconds(100));
        context.restart();
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_fillers;
};

} // namespace

TEST_CASE("an attempt to connect ends soon although the call itself may wait for long")
{
    asio::io_context context;
    const DeafListener listener(context);
    HttpClient client(context, listener.endpoint());
    bool hasEnded = false;
    bool wasSent = true;
    const auto start = steadyNow();
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto request = makeHttpRequest("GET", "/");
            const auto response = co_await client.call(std::move(request), Seconds(30));
            hasEnded = true;
            wasSent = response.has_value() || !response.error().wasNotSent;
        },
        asio::detached);
    context.run_for(std::chrono::seconds(3));
    CHECK(hasEnded);
    CHECK_FALSE(wasSent);
    CHECK(steadyNow() - start < Seconds(4));
}

// Guards against a late copy of an answer that is taken for the answer to an order.

#include "coordinator/engineclient.h"
#include "net/httpexchange.h"
#include "net/spawn.h"
#include "platform/engine.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <array>
#include <string>

using namespace Cardamomhill;

namespace
{

const std::string Accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// An engine that carries out the first request of each connection and answers it. Where the answer to a further one is
/// due it sends a copy of the first, and does not carry it out.
class RepeatingEngine
{
public:
    explicit RepeatingEngine(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        spawn(context.get_executor(), "engine", acceptLoop());
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    int carriedOut = 0;

private:
    Task<> acceptLoop()
    {
        SystemError error;
        while (!error) {
            tcp::socket socket(m_acceptor.get_executor());
            co_await m_acceptor.async_accept(socket, storeError(error));
            spawn(m_acceptor.get_executor(), "engine-connection", serve(std::move(socket)));
        }
    }

    Task<> serve(tcp::socket socket)
    {
        SystemError error;
        for (bool isFirst = true; !error; isFirst = false) {
            // A request of this test arrives in one segment.
            std::array<char, 4096> request{};
            co_await socket.async_read_some(asio::buffer(request), storeError(error));
            if (!error) {
                carriedOut += isFirst ? 1 : 0;
                co_await asio::async_write(socket, asio::buffer(Accepted), storeError(error));
            }
        }
    }

    tcp::acceptor m_acceptor;
};

} // namespace

TEST_CASE("each order that counts as accepted was carried out, though the engine repeats its answer to an earlier one")
{
    constexpr int OrderCount = 4;
    asio::io_context context;
    RepeatingEngine engine(context);
    const Platform::Engine codec;
    EngineClient client(context, engine.endpoint(), BackendServerId("s"), codec);
    int accepted = 0;
    const auto sendOrders = [&]() -> Task<> {
        for (int number = 0; number < OrderCount; ++number) {
            RankOrder order;
            order.action = HoldStep();
            const auto answer = co_await client.send(std::move(order), nullptr);
            accepted += answer == OrderAnswer::Accepted ? 1 : 0;
        }
        context.stop();
    };
    spawn(context.get_executor(), "test", sendOrders());
    context.run_for(std::chrono::seconds(5));
    CHECK(accepted == OrderCount);
    CHECK(engine.carriedOut == OrderCount);
}

// Guards against a call that is sent to a failure domain whose evacuation becomes known between the choice of the
// server and the sending, and against connections to an evacuated domain that are kept for later calls.

#include "control/controladdress.h"
#include "gateway/gatewaysettings.h"
#include "gateway/gatewaythread.h"
#include "metrics/metricsregistry.h"
#include "net/httpclient.h"
#include "net/httpclientconnection.h"
#include "net/spawn.h"
#include "net/steadynow.h"
#include "platform/callheaders.h"
#include "standins/directbackend.h"
#include "support/freeendpoint.h"
#include "traffic/trafficconfigurationbuilder.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

using namespace Cardamomhill;

namespace
{

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr Milliseconds CallTimeout{2000};
const FailureDomainId D1("d1");
const FailureDomainId D2("d2");

/// Notifies of each call before a server is chosen for it.
class ObservedHeaders : public Platform::CallHeaders
{
public:
    Result<CallHead, CallHeaderError> parseCall(const HttpRequest::header_type &request) const override
    {
        if (onCall) {
            onCall();
        }
        return CallHeaders::parseCall(request);
    }

    std::function<void()> onCall;
};

/// The traffic thread of a gateway and two servers, all on the thread of the test.
class Traffic
{
public:
    Traffic()
        : m_first(m_context, "first")
        , m_second(m_context, "second")
    {
        REQUIRE(m_first.listen({asio::ip::address_v4::loopback(), 0}).has_value());
        REQUIRE(m_second.listen({asio::ip::address_v4::loopback(), 0}).has_value());
        listen();
        m_thread->applyConfiguration(configuration());
        m_thread->applyServers({{registration("first", first(), D1)}, {}});
    }

    /// Runs a change of the thread's state after a server has been chosen for the next call, while the attempt
    /// connects.
    void whileConnecting(std::function<void()> change)
    {
        m_codec.onCall = [this, change = std::move(change)] {
            asio::post(m_thread->context(), change);
            m_codec.onCall = {};
        };
    }

    void evacuate(std::set<FailureDomainId> domains)
    {
        m_thread->applyEvacuations({std::move(domains), {}});
    }

    unsigned call(const std::string &path = "/safe/ok", const std::function<void()> &duringCall = {})
    {
        m_status.reset();
        spawn(m_context.get_executor(), "caller", send(path));
        const auto begun = steadyNow();
        bool hasChanged = false;
        while (!m_status) {
            m_thread->context().run_for(Milliseconds(1));
            m_context.restart();
            m_context.run_for(Milliseconds(1));
            if (duringCall && !hasChanged && steadyNow() - begun > Milliseconds(100)) {
                hasChanged = true;
                duringCall();
            }
        }
        return *m_status;
    }

    static DiscoveredServer registration(const std::string &id, DirectBackend &server, const FailureDomainId &domain)
    {
        DiscoveredServer result;
        result.id = BackendServerId(id);
        result.service = ServiceId("s");
        result.address = controlAddress(server.endpoint()).value();
        result.failureDomain = domain;
        result.slots = 4;
        result.startedAt = 1;
        return result;
    }

    std::uint64_t withdrawnCount()
    {
        return m_metrics.counter("attempts_withdrawn_evacuated_total").value();
    }

    GatewayThread &thread()
    {
        return *m_thread;
    }

    DirectBackend &first()
    {
        return m_first;
    }

    DirectBackend &second()
    {
        return m_second;
    }

private:
    /// Another process may take a port that was free before the thread listens there.
    void listen()
    {
        constexpr int MaxTries = 5;
        bool isListening = false;
        for (int tries = 0; !isListening && tries < MaxTries; ++tries) {
            m_settings = settings();
            m_thread = std::make_unique<GatewayThread>(
                m_settings, m_codec, m_metrics, GatewayThread::Observers{{}, {}, [](const auto &) {}, {}, {}, {}});
            isListening = m_thread->listen().has_value();
        }
        REQUIRE(isListening);
    }

    GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.host = HostId("gate");
        settings.failureDomain = D1;
        settings.listen = freeEndpoint(m_context);
        settings.peerListen = freeEndpoint(m_context);
        settings.evacuationLimit = CallTimeout;
        return settings;
    }

    static std::shared_ptr<const TrafficConfiguration> configuration()
    {
        Route route;
        route.name = "safe";
        route.hostName = "shop.example";
        route.pathPrefix = "/safe/";
        route.kind = CallKind::Idempotent;
        route.timeout = CallTimeout;
        route.attemptLimit = 3;
        route.services = {{ServiceId("s"), 1}};
        TrafficService service;
        service.id = ServiceId("s");
        return TrafficConfigurationBuilder().setVersion(1).addRoute(route).addService(service).build();
    }

    Task<> send(std::string path)
    {
        auto request = makeHttpRequest("POST", path, "body");
        request.set("Host", "shop.example");
        request.set("Cardamomhill-Request-Id", "call-" + std::to_string(++m_callCount));
        HttpClientConnection connection(m_context);
        const auto connected = co_await connection.connect(m_settings.listen, CallTimeout);
        const auto started = co_await connection.start(std::move(request), CallTimeout);
        CHECK(connected.has_value());
        CHECK(started.has_value());
        m_status = connection.status();
    }

    asio::io_context m_context;
    GatewaySettings m_settings;
    MetricsRegistry m_metrics;
    ObservedHeaders m_codec;
    std::unique_ptr<GatewayThread> m_thread;
    DirectBackend m_first;
    DirectBackend m_second;
    int m_callCount = 0;
    /// Of the answer to the last call.
    std::optional<unsigned> m_status;
};

} // namespace

TEST_CASE("no call is sent before it is known which domains are evacuated")
{
    Traffic traffic;
    CHECK(traffic.call() == Unavailable);
    CHECK(traffic.first().callCount() == 0);
    traffic.evacuate({});
    CHECK(traffic.call() == Ok);
}

TEST_CASE("a call is not sent if its server's domain is evacuated while it connects")
{
    Traffic traffic;
    traffic.evacuate({});
    SUBCASE("the domain is evacuated")
    {
        traffic.whileConnecting([&] { traffic.evacuate({D1}); });
    }
    SUBCASE("the server's registration moves to an evacuated domain")
    {
        traffic.evacuate({D2});
        traffic.whileConnecting([&] {
            traffic.thread().applyServers({{Traffic::registration("first", traffic.first(), D2)}, {}});
        });
    }
    SUBCASE("the domain is evacuated, and another process in another domain takes the server's id")
    {
        traffic.whileConnecting([&] {
            traffic.evacuate({D1});
            traffic.thread().applyServers({{Traffic::registration("first", traffic.second(), D2)}, {}});
        });
    }
    SUBCASE("the domain is evacuated, and the server's registration ends")
    {
        traffic.whileConnecting([&] {
            traffic.evacuate({D1});
            traffic.thread().applyServers({{}, {BackendServerId("first")}});
        });
    }
    CHECK(traffic.call() == Unavailable);
    CHECK(traffic.withdrawnCount() == 1);
    CHECK(traffic.first().callCount() == 0);
    CHECK(traffic.second().callCount() == 0);
}

TEST_CASE("a call that is withdrawn is sent to a server in another domain")
{
    Traffic traffic;
    traffic.evacuate({});
    traffic.whileConnecting([&] {
        traffic.evacuate({D1});
        traffic.thread().applyServers({{Traffic::registration("second", traffic.second(), D2)}, {}});
    });
    CHECK(traffic.call() == Ok);
    CHECK(traffic.withdrawnCount() == 1);
    CHECK(traffic.first().callCount() == 0);
    CHECK(traffic.second().callCount() == 1);
}

TEST_CASE("idle connections to an evacuated domain are closed, and a call that ran there keeps none")
{
    Traffic traffic;
    traffic.evacuate({});
    CHECK(traffic.call() == Ok);
    const auto &pool = traffic.thread().connectionPool();
    CHECK(pool.size() == 1);
    SUBCASE("the domain is evacuated")
    {
        traffic.evacuate({D1});
        CHECK(pool.size() == 0);
    }
    SUBCASE("the server's registration moves to an evacuated domain")
    {
        traffic.evacuate({D2});
        CHECK(pool.size() == 1);
        traffic.thread().applyServers({{Traffic::registration("first", traffic.first(), D2)}, {}});
        CHECK(pool.size() == 0);
    }
    SUBCASE("the domain is evacuated while a call runs there, which is answered")
    {
        CHECK(traffic.call("/safe/slow", [&] { traffic.evacuate({D1}); }) == Ok);
        CHECK(traffic.first().callCount() == 2);
        CHECK(pool.size() == 0);
        CHECK(traffic.call() == Unavailable);
        CHECK(traffic.first().callCount() == 2);
    }
}

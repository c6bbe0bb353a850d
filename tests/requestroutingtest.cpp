#include "entry/requestrouting.h"
#include "agent/agentserver.h"
#include "config/config.h"
#include "entry/callerrequest.h"
#include "membership/agentreporter.h"
#include "metrics/metricsregistry.h"
#include "objectstore/versionedobject.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

namespace Cardamomhill
{

namespace
{

/// Request routing with one model service and one backend server.
class Fixture
{
public:
    Fixture()
    {
        m_builder.apply({{"profiles", "p"}, 1, R"({"class":"interactive"})", false});
        m_builder.apply({{"services", "s"}, 2, R"({"kind":"model","profile":"p"})", false});
        m_builder.apply({{"organisations", "o"}, 3, "{}", false});
    }

    /// Applies a configuration with this capacity of the server.
    void setCapacity(std::uint64_t version, int capacity)
    {
        m_builder.apply({{"backendservers", "b"},
                         version,
                         R"({"service":"s","failure_domain":"d","agent_address":"127.0.0.1","agent_port":1,"capacity":)"
                             + std::to_string(capacity) + "}",
                         false});
        m_configuration = m_builder.snapshot();
        routing.apply(*m_configuration);
    }

    /// Whether a server is found for one more request, which then occupies one place on it.
    bool occupy()
    {
        CallerRequest request;
        request.configuration = m_configuration;
        request.id = RequestId("r");
        request.service = m_configuration->service(ServiceId("s"));
        request.profile = m_configuration->profile(ProfileId("p"));
        request.organisation = m_configuration->organisation(OrganisationId("o"));
        const auto decision = routing.choose(request, {}, std::nullopt);
        if (decision.has_value()) {
            routing.attemptStarted(decision.value().server);
        }
        return decision.has_value();
    }

    RequestRouting routing{FailureDomainId("d"), 100, 1};

private:
    ConfigurationBuilder m_builder;
    std::shared_ptr<const Configuration> m_configuration;
};

} // namespace

TEST_CASE("a changed capacity of a backend server takes effect for servers that are already known")
{
    Fixture fixture;
    fixture.setCapacity(4, 1);
    CHECK(fixture.occupy());
    CHECK_FALSE(fixture.occupy());
    fixture.setCapacity(5, 2);
    CHECK(fixture.occupy());
    CHECK_FALSE(fixture.occupy());
}

TEST_CASE("a server that is leaving gets no requests after a later change of its configuration")
{
    Fixture fixture;
    fixture.setCapacity(4, 5);
    fixture.routing.updateState(BackendServerId("b"), 7, MemberState::Live);
    CHECK(fixture.occupy());
    fixture.routing.updateState(BackendServerId("b"), 7, MemberState::Leaving);
    fixture.setCapacity(5, 6);
    CHECK_FALSE(fixture.occupy());
}

// Entry processes get a configuration before the agents do. Reports that an agent made before that made every request
// of a new service fail with `all-at-limit` for up to 2 s, and replies for longer.
TEST_CASE("an agent that has not received its configuration does not make its server appear full")
{
    Fixture fixture;
    fixture.setCapacity(4, 2);
    const BackendServerId server("b");
    SUBCASE("with the first row of its gossip")
    {
        const AgentReporter reporter(AgentIdentity{server, FailureDomainId("d"), WallTime(Milliseconds(7))});
        fixture.routing.updateState(server, 7, MemberState::Live);
        fixture.routing.updateLoad(server, 7, reporter.row().load(), ReportSource::Gossip);
        CHECK(fixture.occupy());
    }
    asio::io_context context;
    MetricsRegistry metrics;
    AgentServer agent(context, {server, 7}, tcp::endpoint(), tcp::endpoint(), Milliseconds(1000), metrics);
    SUBCASE("with the load that it measures")
    {
        fixture.routing.updateState(server, 7, MemberState::Live);
        fixture.routing.updateLoad(server, 7, agent.makeLoadReport(), ReportSource::Reply);
        CHECK(fixture.occupy());
        CHECK(fixture.occupy());
        CHECK_FALSE(fixture.occupy());
    }
    SUBCASE("unless it leaves")
    {
        agent.startLeaving();
        fixture.routing.updateState(server, 7, MemberState::Live);
        fixture.routing.updateLoad(server, 7, agent.makeLoadReport(), ReportSource::Gossip);
        CHECK_FALSE(fixture.occupy());
    }
}

} // namespace Cardamomhill

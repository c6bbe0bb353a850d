// Guards against calls to servers of an evacuated failure domain, and against evacuations that begin or end because of
// what happened to the store rather than because of what it states.

#include "traffic/evacuations.h"
#include "traffic/serverquery.h"
#include "traffic/servertable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Cardamomhill;

namespace
{

const SteadyTime Start{Seconds(100)};
const ServiceId Service("s");
const FailureDomainId D1("d1");
const FailureDomainId D2("d2");

DiscoveredServer server(const std::string &id, const FailureDomainId &domain, const std::string &group = "")
{
    DiscoveredServer result;
    result.id = BackendServerId(id);
    result.service = Service;
    result.failureDomain = domain;
    result.slots = 4;
    if (!group.empty()) {
        result.groupMembership = GroupMembership{GroupId(group), 1, 0, 2, true};
    }
    return result;
}

ServerChoice choose(const ServerTable &table, const std::vector<BackendServerId> &tried = {})
{
    Random random(1);
    return table.choose({Service, tried, {}}, Start, random);
}

EvacuatedDomains evacuated(std::set<FailureDomainId> domains)
{
    return {std::move(domains), {}};
}

/// A store, and a host that learns of its changes in pages. A page has the latest state of each object that changed.
class Following
{
public:
    static constexpr int StepKinds = 6;

    Following()
    {
        for (const auto &domain : Domains) {
            m_servers.apply({{server("in-" + domain.value(), domain)}, {}});
        }
    }

    void take(int step, const FailureDomainId &domain)
    {
        m_now += Seconds(1);
        switch (step) {
        case 0:
            m_store.insert(domain);
            changed(domain);
            break;
        case 1:
            if (m_store.erase(domain) > 0) {
                changed(domain);
                recordRemoval(domain);
            }
            break;
        case 2:
            deliver();
            break;
        case 3:
            list();
            break;
        case 4:
            m_evacuations.onStoreUnavailable();
            m_hasContact = false;
            m_page.clear();
            break;
        default:
            m_evacuations.onStoreAvailable();
            break;
        }
        if (const auto change = m_evacuations.takeChange()) {
            m_servers.setEvacuated(*change);
        }
        check();
    }

    static const std::vector<FailureDomainId> Domains;

private:
    void changed(const FailureDomainId &domain)
    {
        if (m_hasContact) {
            m_page.insert(domain);
        }
    }

    void recordRemoval(const FailureDomainId &domain)
    {
        if (m_expected.contains(domain)) {
            m_removedAt[domain] = m_now;
        }
    }

    void deliver()
    {
        for (const auto &domain : m_page) {
            m_store.contains(domain) ? m_evacuations.begin(domain) : m_evacuations.end(domain, m_now);
        }
        m_page.clear();
        m_expected = m_hasContact ? m_store : m_expected;
    }

    void list()
    {
        m_evacuations.onStoreAvailable();
        m_evacuations.replaceAll(m_store, m_now);
        m_page.clear();
        m_hasContact = true;
        m_expected = m_store;
        m_known.insert(m_store.begin(), m_store.end());
    }

    void check()
    {
        m_known.insert(m_expected.begin(), m_expected.end());
        RC_ASSERT(m_servers.evacuated() == m_evacuations.evacuated());
        bool isAnyLeft = false;
        for (const auto &domain : Domains) {
            const bool isEvacuated = m_expected.contains(domain);
            RC_ASSERT(m_servers.isEvacuated(BackendServerId("in-" + domain.value())) == isEvacuated);
            checkEnd(domain);
            isAnyLeft = isAnyLeft || !isEvacuated;
        }
        const auto choice = choose(m_servers);
        RC_ASSERT(choice.hasServer() == isAnyLeft);
        RC_ASSERT(m_servers.canServe(Service) == isAnyLeft);
        RC_ASSERT(!m_servers.isEvacuated(choice.server));
        RC_ASSERT(isAnyLeft || choice.reason == ChoiceReason::Evacuated);
    }

    void checkEnd(const FailureDomainId &domain) const
    {
        const auto endedAt = m_servers.evacuationEndedAt(domain);
        if (m_expected.contains(domain)) {
            RC_ASSERT(!endedAt);
        } else if (m_known.contains(domain)) {
            RC_ASSERT(endedAt.has_value());
        }
        // A host may learn late that an evacuation has ended, but never before.
        const auto removedAt = m_removedAt.find(domain);
        RC_ASSERT(!endedAt || removedAt == m_removedAt.end() || *endedAt >= removedAt->second);
    }

    SteadyTime m_now = Start;
    std::set<FailureDomainId> m_store;
    /// When the store last ended an evacuation that the host knew.
    std::map<FailureDomainId, SteadyTime> m_removedAt;
    /// Domains that changed since the last page.
    std::set<FailureDomainId> m_page;
    bool m_hasContact = false;
    /// What the store stated when the host last received a page.
    std::set<FailureDomainId> m_expected;
    /// Domains that the host has known as evacuated at any time.
    std::set<FailureDomainId> m_known;
    Evacuations m_evacuations;
    ServerTable m_servers;
};

const std::vector<FailureDomainId> Following::Domains{D1, D2, FailureDomainId("d3")};

} // namespace

TEST_CASE("the evacuated domains are those of the last page, in any order of changes, lists and outages of the store")
{
    CHECK(rc::check([](const std::vector<std::pair<unsigned char, unsigned char>> &steps) {
        Following following;
        for (const auto &[step, domain] : steps) {
            following.take(step % Following::StepKinds, Following::Domains[domain % Following::Domains.size()]);
        }
    }));
}

TEST_CASE("nothing is known before the first list, which is reported even if no domain is evacuated")
{
    Evacuations evacuations;
    CHECK_FALSE(evacuations.isListed());
    CHECK_FALSE(evacuations.takeChange());
    evacuations.replaceAll({}, Start);
    CHECK(evacuations.isListed());
    REQUIRE(evacuations.takeChange());
    CHECK_FALSE(evacuations.takeChange());
    evacuations.replaceAll({}, Start);
    CHECK_FALSE(evacuations.takeChange());
    evacuations.begin(D1);
    evacuations.begin(D1);
    REQUIRE(evacuations.takeChange());
    evacuations.begin(D1);
    CHECK_FALSE(evacuations.takeChange());
}

TEST_CASE("a lost store neither begins nor ends an evacuation, and the next list counts as the end of what it lacks")
{
    Evacuations evacuations;
    evacuations.replaceAll({D1, D2}, Start);
    CHECK(evacuations.isCurrent());
    evacuations.onStoreUnavailable();
    CHECK_FALSE(evacuations.isCurrent());
    CHECK(evacuations.evacuated().domains == std::set{D1, D2});
    evacuations.onStoreAvailable();
    CHECK(evacuations.evacuated().domains == std::set{D1, D2});
    evacuations.replaceAll({D2}, Start + Seconds(7));
    CHECK(evacuations.evacuated().domains == std::set{D2});
    CHECK(evacuations.evacuated().endOf(D1) == Start + Seconds(7));
    CHECK_FALSE(evacuations.evacuated().endOf(D2));
}

TEST_CASE("an evacuation that began and ended between two pages has an end")
{
    Evacuations evacuations;
    evacuations.replaceAll({}, Start);
    evacuations.end(D1, Start + Seconds(1));
    CHECK(evacuations.evacuated().endOf(D1) == Start + Seconds(1));
    evacuations.begin(D1);
    CHECK_FALSE(evacuations.evacuated().endOf(D1));
}

TEST_CASE("an object without a name evacuates no domain, and names that do not return are forgotten")
{
    Evacuations evacuations;
    evacuations.replaceAll({FailureDomainId()}, Start);
    evacuations.begin(FailureDomainId());
    evacuations.end(FailureDomainId(), Start);
    CHECK(evacuations.evacuated() == EvacuatedDomains());
    evacuations.end(D1, Start);
    evacuations.end(D2, Start + Seconds(2 * 24 * 3600));
    CHECK(evacuations.evacuated().endedAt.size() == 1);
}

TEST_CASE("servers of an evacuated domain get no call, and only if no others are left that is the reason")
{
    ServerTable table;
    table.apply({{server("a", D1), server("b", D2)}, {}});
    const BackendServerId a("a");
    const BackendServerId b("b");
    table.setEvacuated(evacuated({D1}));
    CHECK(choose(table).server == b);
    CHECK(choose(table, {b}).reason == ChoiceReason::Evacuated);
    CHECK(choose(table, {a, b}).reason == ChoiceReason::AllTried);
    CHECK(table.canServe(Service));
    // A server that cannot be reached now is nearer to a choice than one that must not be called.
    table.setUnreachable({D2}, Start);
    CHECK(choose(table).reason == ChoiceReason::GroupsClosed);
    CHECK_FALSE(table.canServe(Service));
    table.setUnreachable({}, Start);
    table.setEvacuated(evacuated({D1, D2}));
    CHECK(choose(table).reason == ChoiceReason::Evacuated);
    CHECK_FALSE(table.canServe(Service));
    table.setEvacuated({});
    CHECK(choose(table).hasServer());
}

TEST_CASE("an evacuation moves no stream in progress, and the group goes on with its other ranks")
{
    ServerTable table;
    table.apply({{server("a", D1, "g"), server("b", D2, "g")}, {}});
    table.setEvacuated(evacuated({D1}));
    // Attempt::checkProgress() moves streams away from servers that are not available.
    CHECK(table.isAvailable(BackendServerId("a")));
    CHECK(table.isAvailable(BackendServerId("b")));
    CHECK(choose(table).server == BackendServerId("b"));
}

TEST_CASE("the time at which held servers take calls again ignores evacuated ones, which take none then")
{
    ServerTable table;
    const auto evacuatedServer = server("a", D1);
    const auto other = server("b", D2);
    table.apply({{evacuatedServer, other}, {}});
    table.recordHold(processOf(other), Seconds(3), Start);
    CHECK_FALSE(table.heldUntil(Service, Start));
    table.setEvacuated(evacuated({D1}));
    CHECK(table.heldUntil(Service, Start) == Start + Seconds(3));
}

TEST_CASE("a server is evacuated with the domain that its latest registration states, also after that has ended")
{
    ServerTable table;
    auto moving = server("a", D1);
    table.apply({{moving}, {}});
    table.setEvacuated(evacuated({D2}));
    CHECK(choose(table).hasServer());
    moving.failureDomain = D2;
    table.apply({{moving}, {}});
    CHECK(table.isEvacuated(moving.id));
    CHECK(choose(table).reason == ChoiceReason::Evacuated);
    CHECK(table.serversIn(D2) == std::vector{moving.id});
    CHECK(table.serversIn(D1).empty());
    // An attempt that is connecting counts as a call in progress.
    table.recordCallStarted(moving.id);
    table.apply({{}, {moving.id}});
    CHECK(table.isEvacuated(moving.id));
    CHECK(table.serversIn(D2).empty());
    table.apply({{server("a", D1)}, {}});
    CHECK_FALSE(table.isEvacuated(moving.id));
}

TEST_CASE("the end of an evacuation is known until the next one begins")
{
    ServerTable table;
    CHECK_FALSE(table.evacuationEndedAt(D1));
    Evacuations evacuations;
    evacuations.replaceAll({D1}, Start);
    table.setEvacuated(*evacuations.takeChange());
    CHECK_FALSE(table.evacuationEndedAt(D1));
    evacuations.end(D1, Start + Seconds(4));
    table.setEvacuated(*evacuations.takeChange());
    CHECK(table.evacuationEndedAt(D1) == Start + Seconds(4));
    CHECK_FALSE(table.evacuationEndedAt(D2));
    evacuations.begin(D1);
    table.setEvacuated(*evacuations.takeChange());
    CHECK_FALSE(table.evacuationEndedAt(D1));
}

#include "routing/routing.h"

#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <queue>

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t NODE_LIMIT = 16;
constexpr std::uint32_t HOSTS = 3;

AdmissionOptions optionsWithLimit(std::uint32_t limit)
{
    AdmissionOptions options;
    options.maximumInFlight = limit;
    return options;
}

OrganisationLimits organisation(std::size_t number, std::uint32_t weight = 1, std::uint32_t limit = 0)
{
    return {OrganisationId("organisation-" + std::to_string(number)), weight, limit};
}

/// Applies random requests, releases, weights, priorities and losses of contact with the peers. Returns the limit that
/// was violated, or an empty string.
std::string findLimitViolation(const AdmissionOptions &options, std::uint64_t seed)
{
    Random random(seed);
    AdmissionControl admission(options);
    std::map<std::size_t, std::uint32_t> running;
    std::uint32_t total = 0;
    bool peersUnreachable = false;
    SteadyTime now{Seconds(1)};
    for (int step = 0; step < 600; ++step) {
        now += Milliseconds(random() % 300);
        const std::size_t number = random() % 12;
        // Numbers 0 to 5 have a limit of 1 to 6 requests.
        const auto limits
            = organisation(number, number % 4 + 1, number < 6 ? static_cast<std::uint32_t>(number) + 1 : 0);
        if (random() % 50 == 0) {
            peersUnreachable = !peersUnreachable;
            admission.setPeers({!peersUnreachable, HOSTS, static_cast<std::uint32_t>(random() % HOSTS)});
        }
        if (random() % 3 == 0 && running[number] > 0) {
            admission.release(limits.id, now);
            --running[number];
            --total;
        } else if (admission.admit(limits, static_cast<PriorityClass>(random() % 3), now).has_value()) {
            ++running[number];
            ++total;
            if (limits.limit > 0
                && running[number] > (peersUnreachable ? admission.staticShare(limits) : limits.limit)) {
                return "an organisation exceeds its limit";
            }
        }
        if (total > NODE_LIMIT || admission.inFlight() != total || admission.inFlight(limits.id) != running[number]) {
            return "the node exceeds its limit or counts wrongly";
        }
    }
    return {};
}

/// An organisation with unlimited demand competes with small ones that send one request at a time. Returns the greatest
/// number of consecutive refusals of a small one.
struct Competition {
    AdmissionOptions options;
    std::uint64_t seed = 0;
    static constexpr std::size_t SMALL_ORGANISATIONS = 3;

    int mostConsecutiveRefusals()
    {
        Random random(seed);
        AdmissionControl admission(options);
        std::priority_queue<std::pair<SteadyTime, std::size_t>,
                            std::vector<std::pair<SteadyTime, std::size_t>>,
                            std::greater<>>
            ends;
        std::array<SteadyTime, SMALL_ORGANISATIONS + 1> nextRequest{};
        std::array<int, SMALL_ORGANISATIONS + 1> refusals{};
        int longest = 0;
        const auto tryAdmit = [&](std::size_t number, SteadyTime now) {
            const auto admitted = admission.admit(organisation(number), PriorityClass::Interactive, now);
            if (!admitted.has_value()) {
                return admitted.error().retryAfter;
            }
            ends.emplace(now + Milliseconds(100 + random() % 800), number);
            return Milliseconds(0);
        };
        for (SteadyTime now{Seconds(1)}; now < SteadyTime(Seconds(60)); now += Milliseconds(10)) {
            for (; !ends.empty() && ends.top().first <= now; ends.pop()) {
                admission.release(organisation(ends.top().second).id, now);
            }
            while (tryAdmit(0, now) == Milliseconds(0)) { }
            for (std::size_t number = 1; number <= SMALL_ORGANISATIONS; ++number) {
                if (nextRequest[number] > now) {
                    continue;
                }
                const Milliseconds wait = tryAdmit(number, now);
                refusals[number] = wait == Milliseconds(0) ? 0 : refusals[number] + 1;
                longest = std::max(longest, refusals[number]);
                // Longer than the active window, so that the small one's share is lent to others in the meantime.
                nextRequest[number] = now + (wait == Milliseconds(0) ? Seconds(11) : wait);
            }
        }
        return longest;
    }
};

/// The smallest ratio of mean requests in flight to the share, when all organisations have unlimited demand.
double smallestFractionOfShare(const AdmissionOptions &options, std::uint64_t seed)
{
    Random random(seed);
    AdmissionControl admission(options);
    const std::array<std::uint32_t, 4> weights{1, 2, 4, 9};
    std::array<double, 4> sums{};
    std::vector<std::size_t> running;
    SteadyTime now{Seconds(1)};
    for (int step = 0; step < 6000; ++step) {
        now += Milliseconds(10);
        if (!running.empty()) {
            std::swap(running[random() % running.size()], running.back());
            admission.release(organisation(running.back()).id, now);
            running.pop_back();
        }
        // The first organisation sends most requests.
        for (const std::size_t number : {0, 0, 0, 0, 1, 0, 2, 0, 3}) {
            if (admission.admit(organisation(number, weights[number]), PriorityClass::Interactive, now).has_value()) {
                running.push_back(number);
            }
        }
        for (std::size_t number = 0; number < weights.size(); ++number) {
            sums[number] += admission.inFlight(organisation(number).id);
        }
    }
    double smallest = 1;
    for (std::size_t number = 0; number < weights.size(); ++number) {
        smallest = std::min(smallest, sums[number] / 6000 / admission.share(organisation(number).id));
    }
    return smallest;
}

} // namespace

TEST_CASE("requests in flight never exceed the node's limit, an organisation's limit or its static share")
{
    CHECK(rc::check("limits hold", [](std::uint64_t seed) {
        RC_ASSERT(findLimitViolation(optionsWithLimit(NODE_LIMIT), seed) == "");
    }));
    // Seeded fault: the limit is one too high.
    CHECK(findLimitViolation(optionsWithLimit(NODE_LIMIT + 1), 20261204)
          == "the node exceeds its limit or counts wrongly");
}

TEST_CASE("a large organisation cannot starve small ones")
{
    // All requests end within the minimum retry time, so the reserved capacity is free when a refused one is retried.
    CHECK(rc::check("a small organisation is refused at most once in a row", [](std::uint64_t seed) {
        RC_ASSERT((Competition{optionsWithLimit(NODE_LIMIT), seed}.mostConsecutiveRefusals()) <= 1);
    }));
    // Seeded fault: no headroom, and no capacity is reserved after a refusal.
    AdmissionOptions withoutReservations = optionsWithLimit(NODE_LIMIT);
    withoutReservations.reservationLifetime = Microseconds(0);
    withoutReservations.headroomFraction = 0;
    CHECK(Competition{withoutReservations, 20261204}.mostConsecutiveRefusals() > 1);
}

TEST_CASE("under load each organisation gets its weighted share, however many requests others send")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CHECK(smallestFractionOfShare(optionsWithLimit(64), seed) >= 0.85);
    }
    // Seeded fault: no headroom, and no capacity is reserved after a refusal.
    AdmissionOptions withoutReservations = optionsWithLimit(64);
    withoutReservations.reservationLifetime = Microseconds(0);
    withoutReservations.headroomFraction = 0;
    CHECK(smallestFractionOfShare(withoutReservations, 1) < 0.85);
}

TEST_CASE("the static shares of all hosts add up to the limit, so isolated hosts cannot exceed it together")
{
    CHECK(rc::check("static shares are exact", [](std::uint16_t limit) {
        std::uint32_t sum = 0;
        for (std::uint32_t host = 0; host < 21; ++host) {
            AdmissionControl admission;
            admission.setPeers({false, 21, host});
            sum += admission.staticShare(organisation(limit, 1, limit));
        }
        RC_ASSERT(sum == limit);
    }));
}

TEST_CASE("unused shares are lent, batch work is refused first, and state is kept for active organisations only")
{
    AdmissionControl admission(optionsWithLimit(100));
    SteadyTime now{Seconds(1)};
    for (std::size_t number = 0; number < 1000; ++number) {
        REQUIRE(admission.admit(organisation(number), PriorityClass::Standard, now).has_value());
        admission.release(organisation(number).id, now);
    }
    CHECK(admission.activeOrganisations() == 1000);
    now += Seconds(10);
    const auto fill = [&](std::size_t number, PriorityClass priority) {
        while (admission.admit(organisation(number), priority, now).has_value()) { }
        return admission.inFlight(organisation(number).id);
    };
    CHECK(fill(0, PriorityClass::Batch) == 70);
    CHECK(admission.activeOrganisations() == 1);
    CHECK(fill(0, PriorityClass::Standard) == 90);
    CHECK(fill(0, PriorityClass::Interactive) == 100);
    const auto refused = admission.admit(organisation(1), PriorityClass::Batch, now);
    CHECK(refused.error().code == AdmissionRefusalCode::NodeFull);
    CHECK(refused.error().httpStatus() == 503);
    admission.release(organisation(0).id, now);
    // The free capacity is reserved for the organisation that was refused.
    CHECK(admission.admit(organisation(0), PriorityClass::Interactive, now).error().httpStatus() == 429);
    CHECK(admission.admit(organisation(1), PriorityClass::Batch, now).has_value());
}

} // namespace Cardamomhill

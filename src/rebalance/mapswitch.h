#pragma once

#include "core/clocktypes.h"
#include "placement/expertmap.h"
#include "rebalance/orderanswer.h"
#include "rebalance/ordertokens.h"
#include "rebalance/rankorder.h"
#include "rebalance/rankstate.h"
#include "rebalance/reportneed.h"
#include "rebalance/switchphase.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Cardamomhill
{

/// Constants of MapSwitch.
struct MapSwitchOptions {
    /// Time between two tries of an order without an answer.
    Milliseconds retryInterval{20};
    Milliseconds conflictInterval{150};
    /// By which reports lag behind, so that what they say of an order is known only later.
    Milliseconds reportLag{250};
    /// Time between two readings of the ranks while copies are made.
    Milliseconds reportInterval{150};
    /// Time from the last reading's step to the chosen one, beside the age of the reading. If the step has begun
    /// already, the rank says so and a later one is tried.
    Milliseconds stepLead{120};
    std::uint64_t stepMargin = 1;
    /// Shortest time over which the rate of steps is measured; reports of different ranks have different ages.
    Milliseconds rateWindow{500};
    Milliseconds armInterval{25};
    /// Longest time in which all ranks must be armed; a held group makes no passes.
    Milliseconds armingLimit{800};
    Milliseconds prepareLimit{6000};
    /// Longest time to reach all ranks; after it another coordinator, that may reach them, has to go on.
    Milliseconds stuckLimit{3000};
};

/// Switches the ranks of one group from one expert map to another, so that no step begins with two maps.
///
/// The order is: copy at all ranks; hold a coming step at one rank, which holds the whole group; arm all ranks for that
/// step; release it once every rank has confirmed. If a rank refuses or does not confirm in time, all ranks are
/// disarmed with a higher token, which also keeps late orders from taking effect, and only then is the step released.
/// A rank is armed or disarmed only while this coordinator holds the step, so a coordinator that takes over first holds
/// the step itself.
///
/// Makes no calls: takeOrders() returns what is to be sent, and answers and reports are handed in.
class MapSwitch
{
public:
    /// @param tokens of the term of this coordinator; outlive this object
    MapSwitch(std::size_t ranks, std::uint64_t epoch, OrderTokens &tokens, MapSwitchOptions options = {});

    SwitchPhase phase() const;
    std::uint64_t epoch() const;

    /// Begins a switch while idle.
    /// @param copyTime how long the ranks need for their copies
    /// @param mapsAtOnce ranks that may be sent the map at the same time, at least 1
    void begin(std::shared_ptr<const ExpertMap> map, Microseconds copyTime, std::size_t mapsAtOnce, SteadyTime now);

    /// Orders to send now. Each one ends with onAnswer().
    std::vector<RankOrder> takeOrders(SteadyTime now);
    void onAnswer(const RankOrder &order, OrderAnswer answer, SteadyTime now);

    /// Which ranks are to be read now.
    ReportNeed reportNeed(SteadyTime now) const;
    /// What was read of each rank; nothing where the reading failed.
    void onReports(const std::vector<std::optional<RankState>> &states, SteadyTime now);

    /// Takes a reading of one rank. It tells the step of the whole group and keeps the rate of steps up to date.
    void onState(std::size_t rank, const RankState &state, SteadyTime now);

    /// Whether the step of the last switch has begun, as far as the readings show.
    bool hasTakenEffect() const;

    /// Ends what takes too long.
    void tick(SteadyTime now);

    /// The map that this coordinator put in force last, and its version; nothing before the first switch.
    const std::shared_ptr<const ExpertMap> &mapInForce() const;
    std::uint64_t version() const;
    std::uint64_t step() const;
    std::size_t switchCount() const;
    std::size_t abandonedCount() const;

    /// Passes a second, as the reports show; 0 if not known.
    double stepsPerSecond() const;

private:
    struct Rank {
        bool isDone = false;
        bool isInFlight = false;
        SteadyTime retryAt{};
        RankState state;
        bool isKnown = false;
    };

    void enter(SwitchPhase phase, SteadyTime now);
    /// Reads the ranks once the reports show what the last orders did.
    void startInspection(SteadyTime now);
    /// Takes a new token, and forgets which ranks have carried out the orders with the old one.
    void renewOrders(SteadyTime now);
    bool allDone() const;
    bool isWanted(std::size_t rank) const;
    OrderAction actionFor(std::size_t rank) const;
    void onAccepted(std::size_t rank, SteadyTime now);
    void onConflict(std::size_t rank, SteadyTime now);
    void advance(SteadyTime now);
    void chooseStep(SteadyTime now);
    void inspect(SteadyTime now);
    void onPrepared(SteadyTime now);
    void measureSteps(SteadyTime now);

    std::size_t m_holder = 0;
    std::uint64_t m_epoch;
    OrderTokens &m_tokens;
    MapSwitchOptions m_options;
    std::vector<Rank> m_ranks;
    SwitchPhase m_phase = SwitchPhase::Fencing;
    SteadyTime m_phaseSince{};
    bool m_hasStarted = false;
    std::uint64_t m_token;
    std::uint64_t m_version = 0;
    std::uint64_t m_step = 0;
    std::uint64_t m_stepPenalty = 0;
    bool m_isRecovery = false;
    std::shared_ptr<const ExpertMap> m_next;
    std::shared_ptr<const ExpertMap> m_inForce;
    SteadyTime m_nextReports{};
    Microseconds m_copyTime{0};
    std::size_t m_mapsAtOnce = 1;
    std::uint64_t m_lastStep = 0;
    SteadyTime m_lastStepAt{};
    SteadyTime m_rateFrom{};
    std::uint64_t m_rateFromStep = 0;
    double m_stepsPerSecond = 0;
    std::size_t m_switches = 0;
    std::size_t m_abandoned = 0;
};

} // namespace Cardamomhill

#include "placement/placementdecision.h"

#include <iomanip>
#include <sstream>

namespace Cardamomhill
{

namespace
{

struct LogLineWriter {
    std::ostream &out;

    void operator()(const PlacementPlan &plan) const
    {
        out << "placement decision=plan cause=" << nameOf(plan.cause) << " moves=" << plan.moves.size()
            << " layers=" << plan.layers.size() << " switches=" << plan.switchEnds.size()
            << " slowest_before_us=" << plan.slowestBeforeMicroseconds
            << " slowest_after_us=" << plan.slowestAfterMicroseconds << " gain_rank_s=" << plan.gainRankSeconds
            << " bytes=" << plan.bytes << " transfer_ms=" << plan.transferTime.count()
            << " confidence=" << plan.confidence << " score=" << plan.score;
    }

    void operator()(const KeepMapDecision &keep) const
    {
        out << "placement decision=keep reason=" << nameOf(keep.reason) << " skew=" << nameOf(keep.skew)
            << " rank=" << keep.rank << " measured_skew=" << keep.measuredSkew
            << " slowest_us=" << keep.slowestMicroseconds << " ideal_us=" << keep.idealMicroseconds
            << " refused_gain=" << keep.refusedGain << " refused_cost=" << keep.refusedCost
            << " cooling_moves=" << keep.movesInCooldown << " confidence=" << keep.confidence;
    }
};

} // namespace

std::string logLine(const PlacementDecision &decision)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    std::visit(LogLineWriter{out}, decision);
    return out.str();
}

} // namespace Cardamomhill

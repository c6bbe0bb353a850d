#include "routing/routingdecision.h"

#include <iomanip>
#include <sstream>

namespace Cardamomhill
{

std::string RoutingDecision::message() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "server=" << server.value() << " domain=" << failureDomain.value()
         << " score=" << score;
    if (otherCandidate) {
        text << " runner-up=" << otherCandidate->value() << " runner-up-score=" << otherCandidateScore;
    }
    text << " reason=" << nameOf(reason);
    return text.str();
}

} // namespace Cardamomhill

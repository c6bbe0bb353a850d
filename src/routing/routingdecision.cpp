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
    if (runnerUp) {
        text << " runner-up=" << runnerUp->value() << " runner-up-score=" << runnerUpScore;
    }
    text << " reason=" << nameOf(reason);
    return text.str();
}

} // namespace Cardamomhill

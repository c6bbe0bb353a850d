#include "routing/admissionrefusal.h"

namespace Cardamomhill
{

unsigned AdmissionRefusal::httpStatus() const
{
    constexpr unsigned TOO_MANY_REQUESTS = 429;
    constexpr unsigned SERVICE_UNAVAILABLE = 503;
    return code == AdmissionRefusalCode::NodeFull ? SERVICE_UNAVAILABLE : TOO_MANY_REQUESTS;
}

std::string AdmissionRefusal::message() const
{
    return "request of organisation " + organisation.value() + " refused: " + std::string(nameOf(code))
        + ", retry after " + std::to_string(retryAfter.count()) + " ms";
}

} // namespace Cardamomhill

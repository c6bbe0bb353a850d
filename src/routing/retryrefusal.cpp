#include "routing/retryrefusal.h"

namespace Cardamomhill
{

std::string RetryRefusal::message() const
{
    return "no retry after " + std::to_string(attempts) + " attempts: " + std::string(nameOf(code));
}

} // namespace Cardamomhill

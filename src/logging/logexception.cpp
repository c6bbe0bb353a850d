#include "logging/logexception.h"

#include "logging/logger.h"

namespace Cardamomhill
{

void logException(std::string_view coroutine, const std::exception_ptr &exception)
{
    if (!exception) {
        return;
    }
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "exception", {{"coroutine", coroutine}, {"error", error.what()}});
    }
}

} // namespace Cardamomhill

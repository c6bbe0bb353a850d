#include "cli/runtoend.h"

#include "logging/logexception.h"

namespace Cardamomhill::internal
{

ExitStatus runToEnd(asio::io_context &context, Task<ExitStatus> command)
{
    ExitStatus status = ExitStatus::RuntimeError;
    asio::co_spawn(context, std::move(command), [&status](const std::exception_ptr &exception, ExitStatus result) {
        logException("command", exception);
        status = exception ? ExitStatus::RuntimeError : result;
    });
    context.run();
    return status;
}

} // namespace Cardamomhill::internal

#include "net/spawn.h"

#include "logging/logexception.h"

namespace Cardamomhill
{

void spawn(const asio::any_io_executor &executor, std::string_view name, Task<> task)
{
    asio::co_spawn(
        executor, std::move(task), [name](const std::exception_ptr &exception) { logException(name, exception); });
}

} // namespace Cardamomhill

#pragma once

#include "net/asio.h"

#include <string_view>

namespace Cardamomhill
{

/// Starts a coroutine that nothing waits for. An exception that ends it is logged under @p name, which must be a string
/// literal.
void spawn(const asio::any_io_executor &executor, std::string_view name, Task<> task);

} // namespace Cardamomhill

#pragma once

#include "net/asio.h"

#include <string_view>

namespace Cardamomhill
{

/// Runs a coroutine on its own. An exception that ends it is logged under the given name, a string literal.
void spawn(const asio::any_io_executor &executor, std::string_view name, Task<> task);

} // namespace Cardamomhill

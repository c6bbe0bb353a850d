#pragma once

#include <exception>
#include <string_view>

namespace Cardamomhill
{

/// Logs an exception that ended a coroutine; does nothing if it is null. An exception means a bug in the program, since
/// expected failures are returned as typed results.
void logException(std::string_view coroutine, const std::exception_ptr &exception);

} // namespace Cardamomhill

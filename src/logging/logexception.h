#pragma once

#include <exception>
#include <string_view>

namespace Cardamomhill
{

/// Logs an exception that ended a coroutine; does nothing for none. Exceptions are faults of the program: expected
/// failures are typed results.
void logException(std::string_view coroutine, const std::exception_ptr &exception);

} // namespace Cardamomhill

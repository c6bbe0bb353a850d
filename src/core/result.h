#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace Cardamomhill
{

/// A value or a typed error. Reading the wrong alternative throws boost::outcome_v2::bad_result_access.
template<class T, class E>
using Result = boost::outcome_v2::checked<T, E>;

/// Starts the return of an error: `return failure(error);`.
template<class E>
auto failure(E &&error)
{
    return boost::outcome_v2::failure(std::forward<E>(error));
}

/// Starts the return of success without a value: `return success();`.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace Cardamomhill

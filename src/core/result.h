#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace Cardamomhill
{

/// A value or a typed error. Reading the wrong alternative throws boost::outcome_v2::bad_result_access.
template<class T, class E>
using Result = boost::outcome_v2::checked<T, E>;

/// `return failure(error);` returns an error; `return success();` returns success without a value.
using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace Cardamomhill

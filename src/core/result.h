#pragma once

#include <utility>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace Cardamomhill
{

/// A value or a typed error. Reading the wrong alternative throws boost::outcome_v2::bad_result_access.
template<class T, class E>
using Result = boost::outcome_v2::checked<T, E>;

/// Makes the functions below objects, because Outcome calls its own functions of the same names unqualified, and
/// argument-dependent lookup on an error type of this namespace would make such calls ambiguous.
namespace internal
{

struct FailureFunction {
    template<class E>
    auto operator()(E &&error) const
    {
        return boost::outcome_v2::failure(std::forward<E>(error));
    }
};

struct SuccessFunction {
    auto operator()() const
    {
        return boost::outcome_v2::success();
    }
};

} // namespace internal

/// Starts the return of an error: `return failure(error);`.
inline constexpr internal::FailureFunction failure;

/// Starts the return of success without a value: `return success();`.
inline constexpr internal::SuccessFunction success;

} // namespace Cardamomhill

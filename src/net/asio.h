#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace Cardamomhill
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// A coroutine on an io_context. Two bugs of g++ 12 restrict its use:
/// - Don't put co_await into a condition or a conditional expression; some compile to an illegal instruction. Store the
///   result in a variable first.
/// - Don't construct an argument of the awaited call from a braced list in place; some are destroyed twice.
template<class T = void>
using Task = boost::asio::awaitable<T>;

/// Completion token: co_await stores the operation's error in the variable instead of throwing it.
inline auto storeError(SystemError &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace Cardamomhill

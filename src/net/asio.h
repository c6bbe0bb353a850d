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

/// A coroutine on an io_context. Never put co_await into a condition or a conditional expression: g++ 12 miscompiles
/// some of them into an illegal instruction. Keep its result in a variable first. Nor build an argument of the awaited
/// call from a braced list in place: g++ 12 destroys some of them twice.
template<class T = void>
using Task = boost::asio::awaitable<T>;

/// Makes an awaited operation store its error instead of throwing it.
inline auto storeError(SystemError &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace Cardamomhill

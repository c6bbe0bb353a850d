#include "control/platformclient.h"

#include "control/ownobjectapi.h"

namespace Cardamomhill
{

namespace
{

/// What a watch may take beyond the time that the platform was asked to wait.
constexpr Milliseconds WatchMargin{5000};

} // namespace

PlatformClient::PlatformClient(asio::io_context &context,
                               const tcp::endpoint &endpoint,
                               std::shared_ptr<const ObjectApiDialect> dialect,
                               Milliseconds callTimeout)
    : m_dialect(std::move(dialect))
    , m_callTimeout(callTimeout)
    , m_client(context, endpoint)
{
}

std::shared_ptr<const ObjectApiDialect> PlatformClient::ownDialect()
{
    return std::make_shared<const OwnObjectApi>();
}

Task<Result<PlatformObject, PlatformCallError>> PlatformClient::read(ObjectKey key)
{
    const auto body = co_await call(m_dialect->readCall(key), m_callTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return m_dialect->readObject(key, body.value());
}

Task<Result<ObjectPage, PlatformCallError>> PlatformClient::list(std::string kind)
{
    ObjectPage all;
    std::string after;
    do {
        const auto body = co_await call(m_dialect->listCall(kind, after), m_callTimeout);
        if (body.has_error()) {
            co_return failure(body.error());
        }
        auto page = m_dialect->readPage(kind, body.value());
        if (page.has_error()) {
            co_return failure(page.error());
        }
        // Changes between two pages are seen again by a watch from the first page's revision.
        all.revision = after.empty() ? page.value().revision : all.revision;
        all.hasMore = page.value().hasMore && !page.value().objects.empty();
        for (auto &object : page.value().objects) {
            after = object.key.name;
            all.objects.push_back(std::move(object));
        }
    } while (all.hasMore);
    co_return all;
}

Task<Result<ObjectPage, PlatformCallError>> PlatformClient::listStale(std::string kind)
{
    const auto body = co_await call(m_dialect->staleListCall(kind), m_callTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return m_dialect->readPage(kind, body.value());
}

Task<Result<ObjectPage, PlatformCallError>>
PlatformClient::watch(std::string kind, std::uint64_t since, Milliseconds wait)
{
    const auto body = co_await call(m_dialect->watchCall(kind, since, wait), wait + WatchMargin);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return m_dialect->readPage(kind, body.value());
}

Task<Result<PlatformObject, PlatformCallError>>
PlatformClient::write(ObjectKey key, std::uint64_t expectedVersion, std::string value)
{
    const auto body = co_await call(m_dialect->writeCall(key, expectedVersion, value), m_callTimeout);
    if (body.has_error()) {
        co_return failure(body.error());
    }
    co_return m_dialect->readObject(key, body.value());
}

Task<Result<std::string, PlatformCallError>> PlatformClient::call(HttpRequest request, Milliseconds timeout)
{
    constexpr unsigned FirstErrorStatus = 300;
    auto response = co_await m_client.call(std::move(request), timeout);
    if (response.has_error()) {
        const auto code
            = response.error().wasNotSent ? PlatformCallErrorCode::NotSent : PlatformCallErrorCode::Unavailable;
        co_return failure(PlatformCallError{code, response.error().error.message()});
    }
    if (response.value().status >= FirstErrorStatus) {
        co_return failure(m_dialect->errorOf(response.value()));
    }
    co_return std::move(response.value().body);
}

} // namespace Cardamomhill

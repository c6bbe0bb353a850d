#include "control/platformclient.h"

#include "control/defaultobjectapi.h"
#include "logging/logging.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Cardamomhill
{

namespace
{

/// Added to the time that the platform is asked to wait to get the timeout of a watch. A watch whose answer is lost
/// hides all changes until this timeout, so it is not longer than that of a short call.
constexpr Milliseconds WatchTimeoutMargin{1500};

} // namespace

PlatformClient::PlatformClient(asio::io_context &context,
                               const tcp::endpoint &endpoint,
                               std::shared_ptr<const ObjectApiCodec> codec,
                               Milliseconds callTimeout)
    : m_codec(std::move(codec))
    , m_callTimeout(callTimeout)
    , m_client(context, endpoint)
{
}

std::shared_ptr<const ObjectApiCodec> PlatformClient::defaultCodec()
{
    return std::make_shared<const DefaultObjectApi>();
}

Task<Result<PlatformObject, PlatformCallError>> PlatformClient::read(ObjectKey key)
{
    auto request = m_codec->makeReadRequest(key);
    return callForObject(std::move(request), std::move(key));
}

Task<Result<ObjectPage, PlatformCallError>> PlatformClient::list(std::string kind)
{
    ObjectPage all;
    std::string after;
    std::set<std::string> pageEnds;
    do {
        auto page = co_await callForPage(m_codec->makeListRequest(kind, after), kind, m_callTimeout);
        if (page.has_error()) {
            co_return failure(page.error());
        }
        const auto &revision = page.value().revision;
        if (!after.empty() && revision.era < all.revision.era) {
            co_return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, "a page of an earlier era"});
        }
        if (!after.empty() && revision.era > all.revision.era) {
            // The pages received so far show what the restored store may no longer have.
            all = ObjectPage();
            after.clear();
            pageEnds.clear();
            all.hasMore = true;
            continue;
        }
        // The first page's revision is kept, so that a watch from it also reports changes made between two pages.
        all.revision = after.empty() ? revision : all.revision;
        all.hasMore = page.value().hasMore;
        all.unreadableCount += page.value().unreadableCount;
        if (all.hasMore && page.value().lastName.empty()) {
            // Without a name the next page cannot be requested, and a list that ends here would be incomplete.
            co_return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, "a page without names"});
        }
        after = page.value().lastName;
        std::move(page.value().objects.begin(), page.value().objects.end(), std::back_inserter(all.objects));
        if (all.hasMore && !pageEnds.insert(after).second) {
            // The store would return the same pages without end, at the rate at which it answers.
            co_return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, "a page for the second time"});
        }
    } while (all.hasMore);
    co_return all;
}

Task<Result<ObjectPage, PlatformCallError>> PlatformClient::listStale(std::string kind)
{
    auto request = m_codec->makeStaleListRequest(kind);
    return callForPage(std::move(request), std::move(kind), m_callTimeout);
}

Task<Result<ObjectPage, PlatformCallError>>
PlatformClient::watch(std::string kind, StoreRevision since, Milliseconds wait)
{
    auto request = m_codec->makeWatchRequest(kind, since.number, wait);
    return callForPage(std::move(request), std::move(kind), wait + WatchTimeoutMargin);
}

Task<Result<ObjectPage, PlatformCallError>>
PlatformClient::watchStale(std::string kind, StoreRevision since, Milliseconds wait)
{
    auto request = m_codec->makeStaleWatchRequest(kind, since.number, wait);
    return callForPage(std::move(request), std::move(kind), wait + WatchTimeoutMargin);
}

Task<Result<PlatformObject, PlatformCallError>>
PlatformClient::write(ObjectKey key, std::uint64_t expectedVersion, const std::string &value)
{
    auto request = m_codec->makeWriteRequest(key, expectedVersion, value);
    return callForObject(std::move(request), std::move(key));
}

void PlatformClient::abort()
{
    m_client.abort();
}

Task<Result<PlatformObject, PlatformCallError>> PlatformClient::callForObject(HttpRequest request, ObjectKey key)
{
    const auto response = co_await call(std::move(request), m_callTimeout);
    if (response.has_error()) {
        co_return failure(response.error());
    }
    auto object = m_codec->parseObject(key, response.value().body);
    if (object.has_value()) {
        object.value().era = m_codec->eraOf(response.value());
    }
    co_return object;
}

Task<Result<ObjectPage, PlatformCallError>>
PlatformClient::callForPage(HttpRequest request, std::string kind, Milliseconds timeout)
{
    const auto response = co_await call(std::move(request), timeout);
    if (response.has_error()) {
        co_return failure(response.error());
    }
    auto page = m_codec->parsePage(kind, response.value().body);
    if (page.has_value()) {
        const auto era = m_codec->eraOf(response.value());
        page.value().revision.era = era;
        for (auto &object : page.value().objects) {
            object.era = era;
        }
    }
    if (page.has_value() && page.value().unreadableCount > 0) {
        logEvent(LogLevel::Warning,
                 "objects-unreadable",
                 {{"kind", kind},
                  {"count", page.value().unreadableCount},
                  {"revision", page.value().revision.number},
                  {"cause", "no readable name"}});
    }
    co_return page;
}

Task<Result<HttpResponse, PlatformCallError>> PlatformClient::call(HttpRequest request, Milliseconds timeout)
{
    constexpr unsigned FirstErrorStatus = 300;
    auto response = co_await m_client.call(std::move(request), timeout);
    if (response.has_error()) {
        const auto code
            = response.error().isNotSent ? PlatformCallErrorCode::NotSent : PlatformCallErrorCode::Unavailable;
        co_return failure(PlatformCallError{code, response.error().error.message()});
    }
    if (response.value().status >= FirstErrorStatus) {
        co_return failure(m_codec->errorOf(response.value()));
    }
    co_return std::move(response.value());
}

} // namespace Cardamomhill

#include "control/defaultobjectapi.h"

#include "core/jsonpage.h"
#include "core/jsonstructure.h"
#include "core/parsejson.h"
#include "core/wholenumber.h"
#include "net/httpclient.h"
#include "net/percentencoding.h"

namespace Cardamomhill
{

namespace
{

std::string kindPath(const std::string &kind)
{
    return "/objects/" + percentEncoded(kind);
}

std::string pathOf(const ObjectKey &key)
{
    return kindPath(key.kind) + "/" + percentEncoded(key.name);
}

/// The object in a text whose value may be unreadable; nothing if another member is.
std::optional<PlatformObject> objectOf(std::string_view text)
{
    const auto members = membersOf(text);
    const auto kind = parseJson(members.value("kind"));
    const auto name = parseJson(members.value("name"));
    const auto version = parseJson(members.value("version"));
    if (kind.has_error() || name.has_error() || version.has_error() || !kind.value().is_string()
        || !name.value().is_string()) {
        return std::nullopt;
    }
    const auto number = wholeNumber<std::uint64_t>(version.value());
    if (!number) {
        return std::nullopt;
    }
    const auto value = members.isWhole ? members.value("value") : std::string_view();
    return PlatformObject{
        {kind.value().get<std::string>(), name.value().get<std::string>()}, *number, std::string(value)};
}

PlatformCallError malformed(const std::string &cause)
{
    return {PlatformCallErrorCode::MalformedAnswer, cause};
}

} // namespace

HttpRequest DefaultObjectApi::makeReadRequest(const ObjectKey &key) const
{
    return makeHttpRequest("GET", pathOf(key));
}

HttpRequest DefaultObjectApi::makeListRequest(const std::string &kind, const std::string & /*after*/) const
{
    return makeHttpRequest("GET", kind.empty() ? "/objects" : kindPath(kind));
}

HttpRequest DefaultObjectApi::makeStaleListRequest(const std::string &kind) const
{
    return makeListRequest(kind, std::string());
}

HttpRequest
DefaultObjectApi::makeWatchRequest(const std::string & /*kind*/, std::uint64_t since, Milliseconds wait) const
{
    return makeHttpRequest("GET",
                           "/watch?since=" + std::to_string(since) + "&timeout_ms=" + std::to_string(wait.count()));
}

HttpRequest
DefaultObjectApi::makeStaleWatchRequest(const std::string &kind, std::uint64_t since, Milliseconds wait) const
{
    return makeWatchRequest(kind, since, wait);
}

HttpRequest
DefaultObjectApi::makeWriteRequest(const ObjectKey &key, std::uint64_t expectedVersion, const std::string &value) const
{
    auto request = makeHttpRequest("PUT", pathOf(key), value);
    if (expectedVersion == 0) {
        request.set(boost::beast::http::field::if_none_match, "*");
    } else {
        request.set(boost::beast::http::field::if_match, std::to_string(expectedVersion));
    }
    return request;
}

std::uint64_t DefaultObjectApi::eraOf(const HttpResponse & /*response*/) const
{
    return 0;
}

PlatformCallError DefaultObjectApi::errorOf(const HttpResponse &response) const
{
    constexpr unsigned NotFound = 404;
    constexpr unsigned Gone = 410;
    constexpr unsigned PreconditionFailed = 412;
    switch (response.status) {
    case NotFound:
        return {PlatformCallErrorCode::NotFound, ""};
    case Gone:
        return {PlatformCallErrorCode::HistoryGone, ""};
    case PreconditionFailed:
        return {PlatformCallErrorCode::Conflict, response.body};
    default:
        return {PlatformCallErrorCode::Unavailable, "status " + std::to_string(response.status)};
    }
}

Result<PlatformObject, PlatformCallError> DefaultObjectApi::parseObject(const ObjectKey & /*key*/,
                                                                        const std::string &body) const
{
    auto object = objectOf(body);
    if (!object) {
        return failure(malformed("no kind, name or version"));
    }
    return std::move(*object);
}

Result<ObjectPage, PlatformCallError> DefaultObjectApi::parsePage(const std::string & /*kind*/,
                                                                  const std::string &body) const
{
    static const JsonPageNames Names{{"objects"}, {"kind", "name", "value", "version"}};
    const auto split = splitPage(body, Names);
    if (split.has_error()) {
        return failure(malformed(split.error().message()));
    }
    const auto &envelope = split.value().envelope;
    const auto revision
        = envelope.contains("revision") ? wholeNumber<std::uint64_t>(envelope["revision"]) : std::nullopt;
    if (!revision) {
        return failure(malformed("no revision"));
    }
    ObjectPage page;
    page.revision.number = *revision;
    for (const auto element : split.value().elements) {
        auto object = objectOf(element);
        if (object) {
            page.objects.push_back(std::move(*object));
        } else {
            ++page.unreadableCount;
        }
    }
    return page;
}

} // namespace Cardamomhill

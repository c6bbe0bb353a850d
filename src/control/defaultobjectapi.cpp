#include "control/defaultobjectapi.h"

#include "core/parsejson.h"
#include "net/httpclient.h"

namespace Cardamomhill
{

namespace
{

std::string pathOf(const ObjectKey &key)
{
    return "/objects/" + key.kind + "/" + key.name;
}

PlatformObject objectOf(const nlohmann::json &json)
{
    PlatformObject object;
    object.key = {json.at("kind").get<std::string>(), json.at("name").get<std::string>()};
    object.version = json.at("version").get<std::uint64_t>();
    object.value = json.at("value").dump();
    return object;
}

} // namespace

HttpRequest DefaultObjectApi::makeReadRequest(const ObjectKey &key) const
{
    return makeHttpRequest("GET", pathOf(key));
}

HttpRequest DefaultObjectApi::makeListRequest(const std::string &kind, const std::string & /*after*/) const
{
    return makeHttpRequest("GET", kind.empty() ? "/objects" : "/objects/" + kind);
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
    const auto json = parseJson(body);
    if (json.has_error()) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, json.error().message()});
    }
    try {
        return objectOf(json.value());
    } catch (const nlohmann::json::exception &error) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, error.what()});
    }
}

Result<ObjectPage, PlatformCallError> DefaultObjectApi::parsePage(const std::string & /*kind*/,
                                                                  const std::string &body) const
{
    const auto parsed = parseJson(body);
    if (parsed.has_error()) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, parsed.error().message()});
    }
    try {
        const auto &json = parsed.value();
        ObjectPage page;
        page.revision = json.at("revision").get<std::uint64_t>();
        for (const auto &object : json.at("objects")) {
            page.objects.push_back(objectOf(object));
        }
        return page;
    } catch (const nlohmann::json::exception &error) {
        return failure(PlatformCallError{PlatformCallErrorCode::MalformedAnswer, error.what()});
    }
}

} // namespace Cardamomhill

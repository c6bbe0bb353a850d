#include "standins/objectplatform.h"

#include "net/httpexchange.h"
#include "net/steadynow.h"

#include <charconv>

namespace Cardamomhill
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusPayloadTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;
constexpr std::size_t MaxValueBytes = 1024 * 1024;
constexpr std::string_view ObjectsPrefix = "/objects";

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const auto start = target.find(name + "=");
    std::uint64_t number = 0;
    if (start != std::string::npos) {
        const char *begin = target.data() + start + name.size() + 1;
        std::from_chars(begin, target.data() + target.size(), number);
    }
    return number;
}

} // namespace

ObjectPlatform::ObjectPlatform(asio::io_context &context)
    : m_context(context)
    , m_server(context, HttpLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
{
}

Result<void, NetError> ObjectPlatform::listen(const tcp::endpoint &endpoint)
{
    return m_server.listen(endpoint, false);
}

Task<> ObjectPlatform::answer(HttpExchange &exchange)
{
    const auto target = toString(exchange.request().target());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/faults") {
        co_await answerFaults(exchange);
        co_return;
    }
    if (path == "/calls") {
        const nlohmann::json calls(m_calls);
        co_await sendJson(exchange, StatusOk, calls);
        co_return;
    }
    ++m_calls[path == "/watch" ? "watch" : toString(exchange.request().method_string())];
    if (m_faults.delayMs > 0) {
        co_await sleep(Milliseconds(m_faults.delayMs));
    }
    if (m_faults.isDown) {
        co_await sendError(exchange, StatusUnavailable, "down");
    } else if (path == "/watch") {
        co_await answerWatch(exchange, target);
    } else if (path.rfind(ObjectsPrefix, 0) == 0) {
        const auto rest = path.substr(ObjectsPrefix.size());
        co_await answerObjects(exchange, rest);
    } else {
        co_await sendError(exchange, StatusNotFound, "no such path");
    }
}

Task<> ObjectPlatform::answerObjects(HttpExchange &exchange, const std::string &path)
{
    const auto slash = path.find('/', 1);
    const bool isList = slash == std::string::npos;
    if (isList) {
        const std::string kind = path.empty() ? std::string() : path.substr(1);
        const auto objects = changedSince(0, kind);
        co_await sendJson(exchange, StatusOk, objects);
        co_return;
    }
    const Key key{path.substr(1, slash - 1), path.substr(slash + 1)};
    if (exchange.request().method() == http::verb::put) {
        co_await answerPut(exchange, key);
        co_return;
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) {
        co_await sendError(exchange, StatusNotFound, "no such object");
        co_return;
    }
    const auto json = objectJson(key, found->second);
    co_await sendJson(exchange, StatusOk, json);
}

Task<> ObjectPlatform::answerPut(HttpExchange &exchange, const Key &key)
{
    const auto &request = exchange.request();
    auto value = nlohmann::json::parse(request.body(), nullptr, false);
    if (!value.is_object()) {
        co_await sendError(exchange, StatusBadRequest, "the value is not a JSON object");
        co_return;
    }
    if (request.body().size() > MaxValueBytes) {
        co_await sendError(exchange, StatusPayloadTooLarge, "the value is larger than 1 MiB");
        co_return;
    }
    const auto found = m_objects.find(key);
    const auto currentVersion = found == m_objects.end() ? 0 : found->second.version;
    const auto ifMatch = toString(request[http::field::if_match]);
    const bool mustNotExist = request[http::field::if_none_match] == "*";
    const bool isAllowed = mustNotExist ? currentVersion == 0 : ifMatch == std::to_string(currentVersion);
    if (!isAllowed) {
        auto existing = nlohmann::json::object();
        if (currentVersion != 0) {
            existing = objectJson(key, found->second);
        }
        co_await sendJson(exchange, StatusPreconditionFailed, existing);
        co_return;
    }
    auto &object = m_objects[key];
    object = {++m_revision, std::move(value)};
    wakeWatches();
    if (m_faults.loseWriteAnswers > 0) {
        // The server closes the connection when a handler returns without an answer.
        --m_faults.loseWriteAnswers;
        co_return;
    }
    const auto written = objectJson(key, object);
    co_await sendJson(exchange, StatusOk, written);
}

Task<> ObjectPlatform::answerWatch(HttpExchange &exchange, const std::string &target)
{
    const auto sinceRevision = queryNumber(target, "since");
    const auto deadline = steadyNow() + Milliseconds(queryNumber(target, "timeout_ms"));
    Notification notification(m_context);
    const auto position = m_watches.insert(m_watches.end(), &notification);
    while (m_revision <= sinceRevision && steadyNow() < deadline && !m_faults.isDown) {
        co_await notification.waitUntil(deadline);
    }
    m_watches.erase(position);
    if (m_faults.isDown) {
        co_await sendError(exchange, StatusUnavailable, "down");
        co_return;
    }
    const auto changes = changedSince(sinceRevision, "");
    co_await sendJson(exchange, StatusOk, changes);
}

Task<> ObjectPlatform::answerFaults(HttpExchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    if (!json.is_object()) {
        co_await sendError(exchange, StatusBadRequest, "not a JSON object");
        co_return;
    }
    m_faults.isDown = json.value("down", false);
    m_faults.delayMs = json.value("delay_ms", std::int64_t{0});
    m_faults.loseWriteAnswers = json.value("lose_write_answers", 0U);
    wakeWatches();
    co_await sendJson(exchange, StatusOk, json);
}

Task<> ObjectPlatform::sendError(HttpExchange &exchange, unsigned status, const std::string &error)
{
    const nlohmann::json json{{"error", error}};
    co_await sendJson(exchange, status, json);
}

Task<> ObjectPlatform::sendJson(HttpExchange &exchange, unsigned status, const nlohmann::json &json)
{
    co_await exchange.sendAnswer(status, "application/json", json.dump());
}

nlohmann::json ObjectPlatform::objectJson(const Key &key, const Object &object) const
{
    return {{"kind", key.first}, {"name", key.second}, {"version", object.version}, {"value", object.value}};
}

nlohmann::json ObjectPlatform::changedSince(std::uint64_t revision, const std::string &kind) const
{
    auto objects = nlohmann::json::array();
    for (const auto &[key, object] : m_objects) {
        if (object.version > revision && (kind.empty() || kind == key.first)) {
            objects.push_back(objectJson(key, object));
        }
    }
    return {{"revision", m_revision}, {"objects", std::move(objects)}};
}

void ObjectPlatform::wakeWatches()
{
    for (auto *watch : m_watches) {
        watch->notify();
    }
}

Task<> ObjectPlatform::sleep(Milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    SystemError ignored;
    co_await timer.async_wait(storeError(ignored));
}

} // namespace Cardamomhill

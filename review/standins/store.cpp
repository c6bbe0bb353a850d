#include "store.h"

#include "httpmessage.h"

#include <chrono>
#include <cstdlib>

namespace Review
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;

/// The number in a query's parameter, or nothing.
std::optional<std::uint64_t> parameter(const std::string &target, const std::string &name)
{
    const auto start = target.find(name + "=");
    if (start == std::string::npos) {
        return std::nullopt;
    }
    return std::strtoull(target.c_str() + start + name.size() + 1, nullptr, 10);
}

std::string jsonAnswer(int status, const nlohmann::json &json)
{
    return answerText(status, "Content-Type: application/json\r\n", json.dump());
}

} // namespace

Store::Store()
    : m_listener([this](Socket &socket, const HttpMessage &request) {
        const bool wasAnswered = answer(socket, request);
        m_answeredCount += wasAnswered ? 1 : 0;
        return wasAnswered;
    })
{
}

Store::~Store()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

std::uint16_t Store::port() const
{
    return m_listener.port();
}

void Store::put(const std::string &kind, const std::string &name, nlohmann::json spec)
{
    const std::lock_guard lock(m_mutex);
    m_kinds[kind][name] = {++m_revision, false, std::move(spec)};
    m_changed.notify_all();
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto &object = m_kinds[kind][name];
    object.revision = ++m_revision;
    object.isRemoved = true;
    m_changed.notify_all();
}

void Store::loseNextChange(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_kindsToLose.insert(kind);
}

void Store::loseNoMore()
{
    const std::lock_guard lock(m_mutex);
    m_kindsToLose.clear();
}

std::size_t Store::lostCount() const
{
    return m_lostCount;
}

std::size_t Store::answeredCount() const
{
    return m_answeredCount;
}

bool Store::answer(Socket &socket, const HttpMessage &request)
{
    const auto target = request.target();
    constexpr std::string_view Prefix = "/objects/";
    const auto path = target.substr(0, target.find('?')).substr(Prefix.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    if (!request.startLine.starts_with("GET ")) {
        return socket.write(write(kind, request.startLine.starts_with("POST "), request.body));
    }
    if (const auto since = parameter(target, "watch")) {
        const auto text = watch(kind, *since, parameter(target, "wait-ms").value_or(0));
        return text && socket.write(*text);
    }
    if (slash == std::string::npos) {
        return socket.write(list(kind));
    }
    const std::lock_guard lock(m_mutex);
    const auto name = path.substr(slash + 1);
    const auto found = m_kinds[kind].find(name);
    const bool isThere = found != m_kinds[kind].end() && !found->second.isRemoved;
    return socket.write(isThere ? jsonAnswer(StatusOk, jsonOf(name, found->second))
                                : jsonAnswer(StatusNotFound, nullptr));
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    auto items = nlohmann::json::array();
    for (const auto &[name, object] : m_kinds[kind]) {
        if (!object.isRemoved) {
            items.push_back(jsonOf(name, object));
        }
    }
    return jsonAnswer(StatusOk, {{"items", items}, {"has-more", false}, {"store-revision", m_revision}});
}

std::optional<std::string> Store::watch(const std::string &kind, std::uint64_t since, std::uint64_t waitMs)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(
        lock, std::chrono::milliseconds(waitMs), [&] { return m_isStopped || !changesSince(kind, since).empty(); });
    const auto events = changesSince(kind, since);
    if (!events.empty() && m_kindsToLose.erase(kind) > 0) {
        ++m_lostCount;
        m_changed.wait(lock, [this] { return m_isStopped; });
        return std::nullopt;
    }
    return jsonAnswer(StatusOk, {{"events", events}, {"store-revision", m_revision}});
}

std::string Store::write(const std::string &kind, bool isNew, const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    const auto &metadata = json.at("metadata");
    const auto name = metadata.at("name").get<std::string>();
    const std::lock_guard lock(m_mutex);
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    const bool isThere = found != objects.end() && !found->second.isRemoved;
    const auto expected = metadata.value("mod-revision", std::uint64_t{0});
    if (isThere && (isNew || (expected != 0 && expected != found->second.revision))) {
        return jsonAnswer(StatusConflict, jsonOf(name, found->second));
    }
    if (!isThere && !isNew) {
        return jsonAnswer(StatusNotFound, nullptr);
    }
    objects[name] = {++m_revision, false, json.at("spec")};
    m_changed.notify_all();
    return jsonAnswer(StatusOk, jsonOf(name, objects[name]));
}

nlohmann::json Store::jsonOf(const std::string &name, const Object &object)
{
    return {{"metadata", {{"name", name}, {"mod-revision", object.revision}}}, {"spec", object.spec}};
}

nlohmann::json Store::changesSince(const std::string &kind, std::uint64_t since) const
{
    auto events = nlohmann::json::array();
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        return events;
    }
    for (const auto &[name, object] : found->second) {
        if (object.revision > since) {
            events.push_back({{"removed", object.isRemoved}, {"object", jsonOf(name, object)}});
        }
    }
    return events;
}

} // namespace Review

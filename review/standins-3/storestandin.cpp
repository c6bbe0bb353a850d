#include "storestandin.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace
{

constexpr int IdleMs = 3600000;
constexpr int BodyMs = 3000;
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Gone = 410;

/// The number of a parameter in the query of a path; nothing found gives the default.
std::uint64_t parameter(const std::string &query, const std::string &name, std::uint64_t defaultValue)
{
    const auto position = ("&" + query).find("&" + name + "=");
    return position == std::string::npos ? defaultValue
                                         : std::strtoull(query.c_str() + position + name.size() + 1, nullptr, 10);
}

} // namespace

StoreStandin::StoreStandin(Record &record)
    : m_record(record)
    , m_listener(Socket::listener())
    , m_acceptor([this] { acceptLoop(); })
{
}

StoreStandin::~StoreStandin()
{
    m_isStopping = true;
    m_listener.shutDown();
    m_acceptor.join();
    closeConnections();
    m_changed.notify_all();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

std::uint16_t StoreStandin::port() const
{
    return m_listener.port();
}

std::uint64_t StoreStandin::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.revision;
}

void StoreStandin::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    const Json given{{"metadata", {{"name", name}}}, {"spec", Json::parse(spec)}};
    const bool creates = !m_state.objects[kind].contains(name);
    const auto status = write(kind, name, given, creates).first;
    m_record.write("store has " + kind + "/" + name + " at revision " + std::to_string(m_state.revision) + ": "
                   + std::to_string(status));
}

void StoreStandin::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_state;
    m_record.write("store is copied at revision " + std::to_string(m_copy.revision));
}

void StoreStandin::drill(int awayMs)
{
    {
        const std::lock_guard lock(m_mutex);
        m_record.write("store goes away at revision " + std::to_string(m_state.revision));
        m_isAway = true;
        ++m_era;
        m_state = m_copy;
    }
    closeConnections();
    m_changed.notify_all();
    sleepMs(awayMs);
    const std::lock_guard lock(m_mutex);
    m_isAway = false;
    m_record.write("store is back at revision " + std::to_string(m_state.revision) + " in era "
                   + std::to_string(m_era));
}

void StoreStandin::closeConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &socket : m_sockets) {
        socket->shutDown();
    }
    m_sockets.clear();
}

void StoreStandin::acceptLoop()
{
    while (!m_isStopping) {
        auto socket = std::make_shared<Socket>(m_listener.accept());
        if (!socket->isValid()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (m_isAway) {
            // The connection is closed, as by a host on which nothing listens.
            socket->reset();
            continue;
        }
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket, era = m_era] { serve(*socket, era); });
    }
}

void StoreStandin::serve(const Socket &socket, int era)
{
    MessageReader reader(socket);
    while (!m_isStopping) {
        const auto head = reader.readHead(IdleMs);
        if (!head) {
            return;
        }
        const auto length = static_cast<std::size_t>(std::atoll(head->header("content-length").c_str()));
        const auto body = reader.readBody(length, BodyMs);
        if (!body) {
            return;
        }
        const auto [status, json] = answer(*head, *body, era);
        if (status == 0) {
            socket.shutDown();
            return;
        }
        const auto text = json.dump();
        const bool isSent = socket.send("HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + std::to_string(era)
                                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                                        + std::to_string(text.size()) + "\r\n\r\n" + text);
        if (!isSent) {
            return;
        }
    }
}

StoreStandin::Reply StoreStandin::answer(const MessageHead &head, const std::string &body, int era)
{
    constexpr std::string_view Prefix = "/objects/";
    const auto method = head.startLine.substr(0, head.startLine.find(' '));
    const auto target = head.path();
    const auto mark = std::min(target.find('?'), target.size());
    const auto query = target.substr(std::min(mark + 1, target.size()));
    auto path = target.substr(0, mark);
    if (!path.starts_with(Prefix)) {
        return {NotFound, Json::object()};
    }
    path.erase(0, Prefix.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (method == "GET" && name.empty() && query.find("watch=") != std::string::npos) {
        return watch(kind, parameter(query, "watch", 0), static_cast<int>(parameter(query, "wait-ms", 0)), era);
    }
    const std::lock_guard lock(m_mutex);
    if (era != m_era) {
        return {0, Json()};
    }
    if (method == "GET" && name.empty()) {
        return list(kind);
    }
    if (method == "GET") {
        const auto &objects = m_state.objects[kind];
        const auto found = objects.find(name);
        return found == objects.end() ? Reply{NotFound, Json::object()} : Reply{Ok, found->second};
    }
    const auto given = Json::parse(body, nullptr, false);
    if (!given.is_object() || !given.contains("metadata")) {
        return {BadRequest, Json::object()};
    }
    const bool creates = method == "POST";
    return write(kind, creates ? given["metadata"].value("name", std::string()) : name, given, creates);
}

StoreStandin::Reply StoreStandin::list(const std::string &kind)
{
    Json items = Json::array();
    for (const auto &[name, object] : m_state.objects[kind]) {
        items.push_back(object);
    }
    return {Ok, Json{{"items", items}, {"has-more", false}, {"store-revision", m_state.revision}}};
}

StoreStandin::Reply StoreStandin::watch(const std::string &kind, std::uint64_t since, int waitMs, int era)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock lock(m_mutex);
    if (era != m_era) {
        return {0, Json()};
    }
    if (since > m_state.revision) {
        // A revision that this store does not have.
        return {Gone, Json::object()};
    }
    while (true) {
        Json events = Json::array();
        for (const auto &change : m_state.history) {
            if (change.kind == kind && change.revision > since) {
                events.push_back(change.event);
            }
        }
        const bool isOver = std::chrono::steady_clock::now() >= deadline;
        if (!events.empty() || isOver) {
            return {Ok, Json{{"events", events}, {"store-revision", m_state.revision}}};
        }
        m_changed.wait_until(lock, deadline);
        if (era != m_era || m_isStopping) {
            return {0, Json()};
        }
    }
}

StoreStandin::Reply
StoreStandin::write(const std::string &kind, const std::string &name, const Json &given, bool creates)
{
    auto &objects = m_state.objects[kind];
    const auto found = objects.find(name);
    if (creates && found != objects.end()) {
        return {Conflict, found->second};
    }
    if (!creates && found == objects.end()) {
        return {NotFound, Json::object()};
    }
    const auto &metadata = given.at("metadata");
    if (!creates && metadata.contains("mod-revision")
        && metadata["mod-revision"] != found->second["metadata"]["mod-revision"]) {
        return {Conflict, found->second};
    }
    const Json spec = given.contains("spec") ? given["spec"] : Json();
    if (!creates && found->second["spec"] == spec) {
        return {Ok, found->second};
    }
    const auto revision = m_state.revision + 1;
    const auto created = creates ? Json(revision) : found->second["metadata"]["created-rev"];
    const Json object{{"metadata",
                       {{"name", name},
                        {"mod-revision", revision},
                        {"created-rev", created},
                        {"finalizers", Json::array()},
                        {"deleting", false}}},
                      {"spec", spec},
                      {"status", Json()}};
    change(kind, name, object, false);
    return {Ok, object};
}

void StoreStandin::change(const std::string &kind, const std::string &name, const Json &object, bool removed)
{
    ++m_state.revision;
    if (removed) {
        m_state.objects[kind].erase(name);
    } else {
        m_state.objects[kind][name] = object;
    }
    m_state.history.push_back({m_state.revision, kind, Json{{"object", object}, {"removed", removed}}});
    m_changed.notify_all();
}

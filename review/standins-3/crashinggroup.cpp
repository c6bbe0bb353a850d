#include "crashinggroup.h"

#include "deployment.h"
#include "modelserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace
{

using Json = nlohmann::json;

constexpr int IdleMs = 3600000;
constexpr int BodyMs = 3000;
constexpr int Experts = 8;
constexpr int KvTokens = 310000;
constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

std::string headOf(int status, const MessageHead &request, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nCardamomhill-Request-Id: "
        + request.header("cardamomhill-request-id") + "\r\nCardamomhill-Response-Seal: seal\r\n" + fields + "\r\n";
}

std::string lengthField(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Whether a prompt "ID:TOKENS,ID:TOKENS" has a part.
bool hasPart(const std::string &prompt, const std::string &part)
{
    return ("," + prompt).find("," + part + ":") != std::string::npos;
}

} // namespace

CrashingGroup::CrashingGroup(Options options, StoreStandin &store, Record &record)
    : m_options(std::move(options))
    , m_store(store)
    , m_record(record)
{
    for (int rank = 0; rank < m_options.ranks; ++rank) {
        m_ranks.push_back(std::make_unique<Rank>());
        m_ranks.back()->port = freePorts(1).front();
        listen(rank);
    }
    registerRanks();
    m_passes = std::thread([this] { passLoop(); });
}

CrashingGroup::~CrashingGroup()
{
    stop();
}

void CrashingGroup::stop()
{
    if (m_isStopping.exchange(true)) {
        return;
    }
    m_changed.notify_all();
    m_passes.join();
    {
        const std::lock_guard lock(m_mutex);
        for (auto &rank : m_ranks) {
            rank->listener.shutDown();
            for (const auto &socket : rank->sockets) {
                socket->shutDown();
            }
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    for (auto &rank : m_ranks) {
        rank->acceptor.join();
    }
}

std::vector<long long> CrashingGroup::crashes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

std::string CrashingGroup::idOf(int rank) const
{
    return "pool-" + std::to_string(rank);
}

void CrashingGroup::listen(int rank)
{
    auto &own = *m_ranks[static_cast<std::size_t>(rank)];
    own.listener = Socket::listener(own.port);
    own.acceptor = std::thread([this, rank, process = own.process] { acceptLoop(rank, process); });
}

void CrashingGroup::registerRanks()
{
    for (int number = 0; number < m_options.ranks; ++number) {
        const auto &rank = *m_ranks[static_cast<std::size_t>(number)];
        auto spec = Json::parse(serverSpec(m_options.service, rank.port, m_options.zone, m_options.slots));
        spec["group"] = {{"name", "g1"}, {"epoch", m_epoch}, {"rank", number}, {"state", m_isOpen ? "open" : "broken"}};
        spec["size"] = m_options.ranks;
        spec["born"] = rank.born;
        m_store.put("servers", idOf(number), spec.dump());
    }
}

void CrashingGroup::acceptLoop(int rank, int process)
{
    auto &own = *m_ranks[static_cast<std::size_t>(rank)];
    while (!m_isStopping) {
        auto socket = std::make_shared<Socket>(own.listener.accept());
        if (!socket->isValid()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (own.process != process) {
            return;
        }
        own.sockets.push_back(socket);
        m_threads.emplace_back([this, rank, process, socket] { serve(rank, process, socket); });
    }
}

void CrashingGroup::serve(int rank, int process, const std::shared_ptr<Socket> &socket)
{
    MessageReader reader(*socket);
    bool isOpen = true;
    while (isOpen && !m_isStopping) {
        const auto head = reader.readHead(IdleMs);
        if (!head) {
            break;
        }
        const auto length = static_cast<std::size_t>(std::atoll(head->header("content-length").c_str()));
        const auto body = reader.readBody(length, BodyMs);
        const auto path = head->path();
        const bool isControl
            = path == "/report" || path == "/order" || path == "/health" || path.starts_with("/picked");
        isOpen = body
            && (isControl ? answerControl(rank, *socket, *head, *body) : serveCall(rank, process, *socket, *head));
    }
    socket->shutDown();
}

bool CrashingGroup::answerControl(int rank, const Socket &socket, const MessageHead &head, const std::string &body)
{
    const auto path = head.path();
    int status = Ok;
    Json answer = Json::object();
    const std::lock_guard lock(m_mutex);
    if (path == "/report") {
        answer = {
            {"stage", "both"},
            {"models", Json::array()},
            {"busy", false},
            {"sequence", 0},
            {"num-waiting", 0},
            {"num-running", m_ranks[static_cast<std::size_t>(rank)]->running},
            {"kv-used", 0},
            {"kv-total", KvTokens},
            {"handles", 0},
            {"pace", 1.0},
            {"step", m_pass},
            {"map", 0},
            {"size", m_options.ranks},
            {"group", {{"name", "g1"}, {"epoch", m_epoch}, {"rank", rank}, {"state", m_isOpen ? "open" : "broken"}}}};
    } else if (path.starts_with("/picked?lists")) {
        Json experts = Json::array();
        for (int expert = rank; expert < Experts; expert += m_options.ranks) {
            experts.push_back(expert);
        }
        answer = {{"epoch", m_epoch}, {"map", {{"version", 0}, {"experts", Json::array({experts})}}}};
    } else if (path.starts_with("/picked")) {
        // All experts are chosen alike, so that no map is better than the first.
        answer = {{"step", m_pass}, {"epoch", m_epoch}, {"counts", std::vector<long long>(Experts, m_pass)}};
    } else if (path == "/order") {
        const auto order = Json::parse(body, nullptr, false);
        const bool isDisarm = order.is_object() && order.value("operation", "") == "disarm";
        status = isDisarm ? Conflict : Accepted;
    }
    const auto text = answer.dump();
    return socket.send(headOf(status, head, lengthField(text)) + text);
}

bool CrashingGroup::refuse(const Socket &socket, const MessageHead &head) const
{
    return socket.send(headOf(Unavailable, head, "Cardamomhill-Not-Executed: 1\r\nContent-Length: 0\r\n"));
}

bool CrashingGroup::serveCall(int rank, int process, const Socket &socket, const MessageHead &head)
{
    auto &own = *m_ranks[static_cast<std::size_t>(rank)];
    const auto id = head.header("cardamomhill-request-id");
    const bool isCrashing = hasPart(head.header("cardamomhill-prompt-prefix"), m_options.crashingPart);
    int sent = std::atoi(head.header("last-event-id").c_str());
    std::unique_lock lock(m_mutex);
    const auto isOver = [&] { return m_isStopping || own.process != process; };
    const auto stallEnd = std::chrono::steady_clock::now() + std::chrono::milliseconds(m_options.stallMs);
    m_changed.wait_until(lock, stallEnd, [&] { return isOver() || (m_isOpen && own.running < m_options.slots); });
    if (isOver()) {
        return false;
    }
    if (!m_isOpen || own.running >= m_options.slots) {
        lock.unlock();
        return refuse(socket, head);
    }
    ++own.running;
    const int epoch = m_epoch;
    // The prompt is read in one pass, and the answer begins with the next.
    long long nextPass = m_pass + 2;
    bool hasBegun = false;
    bool isSent = true;
    while (isSent && sent < m_options.events) {
        m_changed.wait(lock, [&] { return isOver() || !m_isOpen || m_epoch != epoch || m_pass >= nextPass; });
        if (isOver()) {
            return false;
        }
        if (!m_isOpen || m_epoch != epoch) {
            // The work stalls, and is cut off, or refused if it has not begun.
            --own.running;
            lock.unlock();
            sleepMs(m_options.stallMs);
            return !hasBegun && refuse(socket, head);
        }
        if (isCrashing) {
            crash(rank, id);
            return false;
        }
        ++nextPass;
        ++sent;
        lock.unlock();
        if (!hasBegun) {
            m_record.write("server " + idOf(rank) + " begins to answer " + id);
            isSent = socket.send(headOf(Ok, head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            hasBegun = true;
        }
        isSent = isSent && socket.send(chunk("id: " + std::to_string(sent) + "\ndata: text\n\n"));
        lock.lock();
    }
    --own.running;
    lock.unlock();
    m_changed.notify_all();
    return isSent && socket.send("0\r\n\r\n");
}

void CrashingGroup::passLoop()
{
    while (!m_isStopping) {
        sleepMs(m_options.passMs);
        const std::lock_guard lock(m_mutex);
        m_pass += m_isOpen ? 1 : 0;
        m_changed.notify_all();
    }
}

void CrashingGroup::crash(int rank, const std::string &id)
{
    auto &own = *m_ranks[static_cast<std::size_t>(rank)];
    m_record.write("server " + idOf(rank) + " CRASHES as it begins to answer " + id);
    m_crashes.push_back(nowMs());
    ++own.process;
    own.running = 0;
    m_isOpen = false;
    own.listener.shutDown();
    for (const auto &socket : own.sockets) {
        socket->shutDown();
    }
    own.sockets.clear();
    m_changed.notify_all();
    registerRanks();
    m_threads.emplace_back([this, rank] { formAnew(rank); });
}

void CrashingGroup::formAnew(int rank)
{
    auto &own = *m_ranks[static_cast<std::size_t>(rank)];
    own.acceptor.join();
    own.listener.close();
    sleepMs(m_options.backMs);
    const auto isStopping = [this] { return m_isStopping.load(); };
    {
        std::unique_lock lock(m_mutex);
        ++own.born;
        ++m_epoch;
        listen(rank);
        registerRanks();
        m_changed.wait_for(lock, std::chrono::milliseconds(m_options.formMs), isStopping);
        m_isOpen = true;
        registerRanks();
        m_record.write("the group is formed anew, epoch " + std::to_string(m_epoch));
    }
    m_changed.notify_all();
}

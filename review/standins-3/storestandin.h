#pragma once

#include "message.h"
#include "record.h"
#include "socket.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A stand-in for the platform's store that can be taken away for a moment and come back from a copy of its state.
class StoreStandin
{
public:
    explicit StoreStandin(Record &record);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    std::uint16_t port() const;
    std::uint64_t revision() const;

    /// Writes as the operator or a server does.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    /// Keeps a copy of the state.
    void takeCopy();
    /// Closes all connections, is away for this time and comes back from the copy, in the next era.
    void drill(int awayMs);

private:
    using Json = nlohmann::json;

    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        Json event;
    };

    struct State {
        std::uint64_t revision = 1;
        std::map<std::string, std::map<std::string, Json>> objects;
        std::vector<Change> history;
    };

    /// The status and body of an answer.
    using Reply = std::pair<int, Json>;

    void acceptLoop();
    void serve(const Socket &socket, int era);
    Reply answer(const MessageHead &head, const std::string &body, int era);
    Reply list(const std::string &kind);
    Reply watch(const std::string &kind, std::uint64_t since, int waitMs, int era);
    Reply write(const std::string &kind, const std::string &name, const Json &given, bool creates);
    void change(const std::string &kind, const std::string &name, const Json &object, bool removed);
    void closeConnections();

    Record &m_record;
    Socket m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    int m_era = 1;
    bool m_isAway = false;
    std::atomic<bool> m_isStopping{false};
    std::list<std::shared_ptr<Socket>> m_sockets;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

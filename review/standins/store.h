#pragma once

#include "httplistener.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Review
{

/// The platform's store: objects by kind and name, with lists, watches and writes under a condition. It is fast, never
/// away and keeps all history.
class Store
{
public:
    Store();
    /// Ends waiting watches.
    ~Store();

    std::uint16_t port() const;
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);

    /// Loses the next answer that tells a waiting watch of a change of this kind: its connection returns nothing
    /// further. Nothing else is lost.
    void loseNextChange(const std::string &kind);
    void loseNoMore();
    std::size_t lostCount() const;
    std::size_t answeredCount() const;

private:
    struct Object {
        std::uint64_t revision = 0;
        bool isRemoved = false;
        nlohmann::json spec;
    };
    using Kind = std::map<std::string, Object>;

    bool answer(Socket &socket, const HttpMessage &request);
    std::string list(const std::string &kind);
    /// Nothing if the answer is lost.
    std::optional<std::string> watch(const std::string &kind, std::uint64_t since, std::uint64_t waitMs);
    std::string write(const std::string &kind, bool isNew, const std::string &body);
    static nlohmann::json jsonOf(const std::string &name, const Object &object);
    nlohmann::json changesSince(const std::string &kind, std::uint64_t since) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopped = false;
    std::set<std::string> m_kindsToLose;
    std::atomic<std::size_t> m_lostCount = 0;
    std::atomic<std::size_t> m_answeredCount = 0;
    std::uint64_t m_revision = 10;
    std::map<std::string, Kind> m_kinds;
    HttpListener m_listener;
};

} // namespace Review

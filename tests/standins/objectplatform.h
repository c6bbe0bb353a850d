#pragma once

#include "net/asio.h"
#include "net/httpserver.h"
#include "net/notification.h"
#include "standins/platformfaults.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>

namespace Cardamomhill
{

class HttpExchange;

/// A stand-in for a platform, with this project's own object API (see DefaultObjectApi): object versions, conditional
/// updates and watches. GET /calls returns the number of calls by method; POST /faults sets PlatformFaults.
class ObjectPlatform
{
public:
    explicit ObjectPlatform(asio::io_context &context);

    Result<void, NetError> listen(const tcp::endpoint &endpoint);

private:
    struct Object {
        std::uint64_t version = 0;
        nlohmann::json value;
    };
    using Key = std::pair<std::string, std::string>;

    Task<> answer(HttpExchange &exchange);
    Task<> answerObjects(HttpExchange &exchange, const std::string &path);
    Task<> answerPut(HttpExchange &exchange, const Key &key);
    Task<> answerWatch(HttpExchange &exchange, const std::string &target);
    Task<> answerFaults(HttpExchange &exchange);
    Task<> sendError(HttpExchange &exchange, unsigned status, const std::string &error);
    Task<> sendJson(HttpExchange &exchange, unsigned status, const nlohmann::json &json);
    nlohmann::json objectJson(const Key &key, const Object &object) const;
    nlohmann::json changedSince(std::uint64_t revision, const std::string &kind) const;
    void wakeWatches();
    Task<> sleep(Milliseconds time);

    asio::io_context &m_context;
    HttpServer m_server;
    std::map<Key, Object> m_objects;
    std::map<std::string, std::uint64_t> m_calls;
    std::list<Notification *> m_watches;
    std::uint64_t m_revision = 0;
    PlatformFaults m_faults;
};

} // namespace Cardamomhill

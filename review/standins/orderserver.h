#pragma once

#include "httplistener.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Review
{

class Record;
class Store;

/// A sound server that works on each request for a while and records which ones it has run.
class OrderServer
{
public:
    /// Registers itself.
    OrderServer(std::string id, Store &store, Record &record);

    /// When it began to work on the request; nothing if it hasn't.
    std::optional<std::int64_t> runAt(const std::string &requestId);
    std::uint16_t port() const;

    /// Ends the server with all its connections.
    void end();

private:
    bool answer(Socket &socket, const HttpMessage &request);

    std::string m_id;
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs;
    std::unique_ptr<HttpListener> m_listener;
};

} // namespace Review

#pragma once

#include "core/random.h"
#include "net/asio.h"
#include "net/httpclientconnection.h"
#include "soak/ledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cardamomhill
{

class SoakHost;

/// A caller that sends one call after the other over kept connections and checks each answer.
class SoakCaller
{
public:
    SoakCaller(
        asio::io_context &context, std::string name, std::uint64_t seed, std::vector<SoakHost *> hosts, Ledger &ledger);

    /// Calls until the time has come.
    Task<> run(SteadyTime until);

    /// One idempotent call to one host on a new connection; the status, 0 if there was no answer.
    Task<unsigned> probe(std::size_t host, std::string path, std::string key);

private:
    struct Sent {
        std::string id;
        CallKind kind = CallKind::Idempotent;
        std::size_t host = 0;
        SteadyTime at{};
        bool leavesEarly = false;
    };

    Task<> callOnce();
    Task<std::unique_ptr<HttpClientConnection>> connect(std::size_t host);
    Task<> readAnswer(HttpClientConnection &connection, const Sent &sent);
    void checkBody(const Sent &sent, const std::string &body);
    void checkEvents(const Sent &sent, const std::string &body, bool isComplete);
    HttpRequest request(const std::string &id, const std::string &path, const std::string &key) const;
    /// Whether a fault at the host explains what happened to a call.
    bool isExcused(const Sent &sent) const;

    asio::io_context &m_context;
    std::string m_name;
    Random m_random;
    std::vector<SoakHost *> m_hosts;
    Ledger &m_ledger;
    std::map<std::size_t, std::unique_ptr<HttpClientConnection>> m_kept;
    std::uint64_t m_calls = 0;
};

} // namespace Cardamomhill

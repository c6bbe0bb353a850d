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

/// A caller that sends one call at a time over persistent connections and checks each answer.
class SoakCaller
{
public:
    SoakCaller(
        asio::io_context &context, std::string name, std::uint64_t seed, std::vector<SoakHost *> hosts, Ledger &ledger);

    /// Sends calls until the given time.
    Task<> run(SteadyTime until);

    /// Sends one idempotent call to one host on a new connection; returns the status, or 0 without an answer.
    Task<unsigned> probe(std::size_t host, std::string path, std::string key);

private:
    struct SentCall {
        std::string id;
        CallKind kind = CallKind::Idempotent;
        std::size_t host = 0;
        SteadyTime sentAt{};
        bool leavesEarly = false;
    };

    Task<> sendRandomCall();
    Task<std::unique_ptr<HttpClientConnection>> connect(std::size_t host);
    Task<> readAnswer(HttpClientConnection &connection, const SentCall &sent);
    void checkBody(const SentCall &sent, const std::string &body);
    void checkEvents(const SentCall &sent, const std::string &body, bool isComplete);
    HttpRequest request(const std::string &id, const std::string &path, const std::string &key) const;
    /// Whether a recent fault at the host may explain a failed call.
    bool isExcused(const SentCall &sent) const;

    asio::io_context &m_context;
    std::string m_name;
    Random m_random;
    std::vector<SoakHost *> m_hosts;
    Ledger &m_ledger;
    std::map<std::size_t, std::unique_ptr<HttpClientConnection>> m_idleConnections;
    std::uint64_t m_calls = 0;
};

} // namespace Cardamomhill

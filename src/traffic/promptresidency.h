#pragma once

#include "core/identifiers.h"
#include "core/random.h"
#include "traffic/promptretention.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Cardamomhill
{

struct PromptOutline;
struct ServerMemory;

/// Constants of PromptResidency.
struct PromptResidencyOptions {
    PromptRetention retention = PromptRetention::Running;
    /// Limit on the prefixes that are remembered, each once for every server that holds it. One takes about 150 bytes,
    /// so all take some 2 MB.
    std::size_t maxPrefixes = 12'000;
    /// Limit on the calls that are followed.
    std::size_t maxCalls = 4000;
};

/// Estimates how much of the beginning of a prompt each engine holds, from the calls of this entry host that began and
/// ended there.
///
/// The prefixes of a prompt count as held from the beginning of a call with them. Depending on how engines retain
/// prompts, they do so until the last such call ends, or until as many other tokens as the engine has room for have
/// been read there.
///
/// What other entry hosts send is known only as a number of calls. Their prompts count as of mean length, and as likely
/// to have a prefix as those of this host: if most calls begin alike, most servers hold that beginning, and the ones of
/// which this host knows it are no better than the others.
class PromptResidency
{
public:
    /// Identifies a call that is followed; 0 for one that is not.
    using Ticket = std::uint64_t;

    explicit PromptResidency(PromptResidencyOptions options = {});

    /// Records that a call is sent to a server.
    /// @param memory of the server, without this call
    Ticket recordStarted(const BackendServerId &server, const PromptOutline &prompt, const ServerMemory &memory);

    /// @param wasRead whether the server has read the prompt
    void recordEnded(Ticket ticket, bool wasRead);

    /// Records that a server holds nothing any more, since its process has ended.
    void forget(const BackendServerId &server);

    /// How many tokens of the beginning of a prompt a server is expected to hold; none if it has no memory for the rest
    /// of the call.
    std::uint64_t
    heldTokens(const BackendServerId &server, const PromptOutline &prompt, const ServerMemory &memory) const;

    /// Servers that hold a prefix of a prompt, those with the longest first, and in random order those that hold the
    /// same.
    std::vector<BackendServerId> holders(const PromptOutline &prompt, std::size_t limit, Random &random) const;

    /// Number of prefixes that are remembered, each once for every server.
    std::size_t size() const;

private:
    /// Identifies a process of a server: a restarted one gets another number.
    using ServerNumber = std::uint64_t;

    /// A prefix at a server.
    struct Holding {
        ServerNumber server = 0;
        /// Calls in progress with the prefix.
        std::uint32_t calls = 0;
        /// Whether one of its calls has ended after the prompt was read.
        bool wasRead = false;
        /// Server::readTokens when it was last used.
        double usedAt = 0;
    };

    struct Prefix {
        /// Of its last part.
        std::uint64_t partTokens = 0;
        /// Calls in progress with it, at all servers.
        std::uint32_t calls = 0;
        std::vector<Holding> holdings;
    };

    struct Server {
        ServerNumber number = 0;
        /// Followed calls in progress.
        std::uint64_t calls = 0;
        /// Tokens of the prompts of these calls; shared ones count once.
        std::uint64_t promptTokens = 0;
        /// Tokens that were read and made there, including an estimate for other entry hosts.
        double readTokens = 0;
        std::uint64_t capacityTokens = 0;
    };

    struct Call {
        BackendServerId server;
        ServerNumber number = 0;
        std::vector<std::uint64_t> prefixes;
        /// Tokens that it does not share with other calls that are followed.
        std::uint64_t ownTokens = 0;
    };

    Server &serverFor(const BackendServerId &id);
    const Server *findServer(const BackendServerId &id) const;
    bool isHeld(const Holding &holding, const Server &server) const;
    const Holding *holdingOf(std::uint64_t prefix, ServerNumber server) const;
    /// Whether a call exceeds the memory of a server.
    /// @param tokensToRead tokens of its prompt that the server does not hold
    static bool isExceeded(const Server *server, std::uint64_t tokensToRead, const ServerMemory &memory);
    /// What a server holds due to calls of this host.
    std::uint64_t heldTokensAt(const Server &server, const PromptOutline &prompt) const;
    /// The probability that any of a number of calls of other hosts has a prefix.
    double likelihood(std::uint64_t prefix, double calls) const;
    /// Returns false if there is no space to remember it.
    bool addHolding(std::uint64_t key, std::uint64_t partTokens, Server &server);
    void releaseHolding(std::uint64_t key, Server &server, bool wasRead);
    void eraseHolding(std::uint64_t key, ServerNumber server);
    /// Makes space for a prefix by forgetting those that no call in progress has, if there are any.
    bool makeSpace();

    PromptResidencyOptions m_options;
    std::unordered_map<std::uint64_t, Prefix> m_prefixes;
    std::unordered_map<BackendServerId, Server> m_servers;
    std::unordered_map<ServerNumber, BackendServerId> m_names;
    std::unordered_map<Ticket, Call> m_calls;
    Ticket m_lastTicket = 0;
    ServerNumber m_lastNumber = 0;
    /// Number of holdings, and of those without a call in progress.
    std::size_t m_size = 0;
    std::size_t m_idle = 0;
};

} // namespace Cardamomhill

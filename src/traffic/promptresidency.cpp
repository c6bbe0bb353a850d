#include "traffic/promptresidency.h"

#include "traffic/promptoutline.h"
#include "traffic/randomorder.h"
#include "traffic/servermemory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Cardamomhill
{

PromptResidency::PromptResidency(PromptResidencyOptions options)
    : m_options(options)
{
}

PromptResidency::Ticket
PromptResidency::recordStarted(const BackendServerId &server, const PromptOutline &prompt, const ServerMemory &memory)
{
    auto &state = serverFor(server);
    state.capacityTokens = memory.capacityTokens;
    const auto tokensToRead = prompt.tokens - heldTokensAt(state, prompt);
    // As many calls of other hosts as are in progress for each call of this one read prompts there too.
    const auto followed = static_cast<double>(state.calls);
    const double hostShare = std::max(1.0, (memory.calls + 1) / (followed + 1));
    state.readTokens += static_cast<double>(tokensToRead + memory.meanAnswerTokens) * hostShare;
    if (m_calls.size() >= m_options.maxCalls) {
        return 0;
    }
    Call call{server, state.number, {}, prompt.tokens};
    std::uint64_t begin = 0;
    for (const auto &prefix : prompt.prefixes) {
        const auto partTokens = prefix.tokens - std::exchange(begin, prefix.tokens);
        if (addHolding(prefix.key, partTokens, state)) {
            call.prefixes.push_back(prefix.key);
            call.ownTokens -= partTokens;
        }
    }
    ++state.calls;
    state.promptTokens += call.ownTokens;
    m_calls.emplace(++m_lastTicket, std::move(call));
    return m_lastTicket;
}

void PromptResidency::recordEnded(Ticket ticket, bool wasRead)
{
    const auto found = m_calls.extract(ticket);
    if (found.empty()) {
        return;
    }
    const auto &call = found.mapped();
    const auto server = m_servers.find(call.server);
    if (server == m_servers.end() || server->second.number != call.number) {
        return;
    }
    auto &state = server->second;
    --state.calls;
    state.promptTokens -= call.ownTokens;
    for (const auto key : call.prefixes) {
        releaseHolding(key, state, wasRead);
    }
}

void PromptResidency::forget(const BackendServerId &server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    const auto number = found->second.number;
    m_servers.erase(found);
    m_names.erase(number);
    std::vector<std::uint64_t> keys;
    for (const auto &[key, prefix] : m_prefixes) {
        if (holdingOf(key, number) != nullptr) {
            keys.push_back(key);
        }
    }
    for (const auto key : keys) {
        eraseHolding(key, number);
    }
}

std::uint64_t PromptResidency::heldTokens(const BackendServerId &server,
                                          const PromptOutline &prompt,
                                          const ServerMemory &memory) const
{
    const auto *state = findServer(server);
    const auto known = state == nullptr ? 0 : heldTokensAt(*state, prompt);
    const double otherCalls = memory.calls - (state == nullptr ? 0 : static_cast<double>(state->calls));
    auto held = static_cast<double>(known);
    auto begin = known;
    for (const auto &prefix : prompt.prefixes) {
        if (prefix.tokens > known) {
            const auto partTokens = static_cast<double>(prefix.tokens - std::exchange(begin, prefix.tokens));
            held += partTokens * likelihood(prefix.key, otherCalls);
        }
    }
    const auto tokens = static_cast<std::uint64_t>(held);
    return isExceeded(state, prompt.tokens - tokens, memory) ? 0 : tokens;
}

std::vector<BackendServerId>
PromptResidency::holders(const PromptOutline &prompt, std::size_t limit, Random &random) const
{
    std::vector<BackendServerId> result;
    for (auto prefix = prompt.prefixes.rbegin(); prefix != prompt.prefixes.rend(); ++prefix) {
        const auto found = m_prefixes.find(prefix->key);
        if (found == m_prefixes.end()) {
            continue;
        }
        const auto &holdings = found->second.holdings;
        internal::RandomOrder order(holdings.size(), random);
        while (!order.isDone() && result.size() < limit) {
            const auto &holding = holdings[order.next()];
            const auto &id = m_names.at(holding.server);
            const bool isKnown = std::find(result.begin(), result.end(), id) != result.end();
            if (!isKnown && isHeld(holding, m_servers.at(id))) {
                result.push_back(id);
            }
        }
    }
    return result;
}

std::size_t PromptResidency::size() const
{
    return m_size;
}

PromptResidency::Server &PromptResidency::serverFor(const BackendServerId &id)
{
    auto &server = m_servers[id];
    if (server.number == 0) {
        server.number = ++m_lastNumber;
        m_names.emplace(server.number, id);
    }
    return server;
}

const PromptResidency::Server *PromptResidency::findServer(const BackendServerId &id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

bool PromptResidency::isHeld(const Holding &holding, const Server &server) const
{
    if (holding.calls > 0) {
        return true;
    }
    const auto capacity = static_cast<double>(server.capacityTokens);
    return holding.wasRead && server.readTokens - holding.usedAt < capacity;
}

const PromptResidency::Holding *PromptResidency::holdingOf(std::uint64_t prefix, ServerNumber server) const
{
    const auto found = m_prefixes.find(prefix);
    if (found == m_prefixes.end()) {
        return nullptr;
    }
    const auto &holdings = found->second.holdings;
    const auto holding = std::find_if(
        holdings.begin(), holdings.end(), [server](const Holding &candidate) { return candidate.server == server; });
    return holding == holdings.end() ? nullptr : &*holding;
}

double PromptResidency::likelihood(std::uint64_t prefix, double calls) const
{
    const auto found = m_prefixes.find(prefix);
    if (found == m_prefixes.end() || found->second.calls < 2 || calls <= 0) {
        return 0;
    }
    // Without one of the calls, since a prefix that no call has is not looked for.
    const double share = (found->second.calls - 1.0) / (static_cast<double>(m_calls.size()) - 1);
    return 1 - std::pow(1 - std::min(share, 1.0), calls);
}

bool PromptResidency::isExceeded(const Server *server, std::uint64_t tokensToRead, const ServerMemory &memory)
{
    const auto followed = server == nullptr ? 0 : static_cast<double>(server->calls);
    const auto promptTokens = server == nullptr ? 0 : static_cast<double>(server->promptTokens);
    const auto meanAnswer = static_cast<double>(memory.meanAnswerTokens);
    const auto meanCall = static_cast<double>(memory.meanPromptTokens) + meanAnswer;
    const double others = std::max(0.0, memory.calls - followed) * meanCall;
    const double used = promptTokens + followed * meanAnswer + others;
    return used + static_cast<double>(tokensToRead) + meanAnswer > static_cast<double>(memory.capacityTokens);
}

std::uint64_t PromptResidency::heldTokensAt(const Server &server, const PromptOutline &prompt) const
{
    for (auto prefix = prompt.prefixes.rbegin(); prefix != prompt.prefixes.rend(); ++prefix) {
        const auto *holding = holdingOf(prefix->key, server.number);
        if (holding != nullptr && isHeld(*holding, server)) {
            return prefix->tokens;
        }
    }
    return 0;
}

bool PromptResidency::addHolding(std::uint64_t key, std::uint64_t partTokens, Server &server)
{
    if (holdingOf(key, server.number) == nullptr) {
        if (!makeSpace()) {
            return false;
        }
        m_prefixes.try_emplace(key, Prefix{partTokens, 0, {}})
            .first->second.holdings.push_back({server.number, 0, false, 0});
        ++m_size;
        ++m_idle;
    }
    auto &prefix = m_prefixes.at(key);
    auto &holding = *std::find_if(prefix.holdings.begin(), prefix.holdings.end(), [&server](const Holding &candidate) {
        return candidate.server == server.number;
    });
    ++prefix.calls;
    if (holding.calls++ == 0) {
        --m_idle;
        server.promptTokens += prefix.partTokens;
    }
    holding.usedAt = server.readTokens;
    return true;
}

void PromptResidency::releaseHolding(std::uint64_t key, Server &server, bool wasRead)
{
    auto &prefix = m_prefixes.at(key);
    auto &holding = *std::find_if(prefix.holdings.begin(), prefix.holdings.end(), [&server](const Holding &candidate) {
        return candidate.server == server.number;
    });
    if (wasRead) {
        holding.wasRead = true;
        holding.usedAt = server.readTokens;
    }
    --prefix.calls;
    if (--holding.calls > 0) {
        return;
    }
    ++m_idle;
    server.promptTokens -= prefix.partTokens;
    if (m_options.retention == PromptRetention::Running || !holding.wasRead) {
        eraseHolding(key, server.number);
    }
}

void PromptResidency::eraseHolding(std::uint64_t key, ServerNumber server)
{
    const auto found = m_prefixes.find(key);
    std::erase_if(found->second.holdings, [&](const Holding &holding) {
        if (holding.server != server) {
            return false;
        }
        --m_size;
        found->second.calls -= holding.calls;
        m_idle -= holding.calls == 0 ? 1 : 0;
        return true;
    });
    if (found->second.holdings.empty()) {
        m_prefixes.erase(found);
    }
}

bool PromptResidency::makeSpace()
{
    if (m_size < m_options.maxPrefixes) {
        return true;
    }
    if (m_idle == 0) {
        return false;
    }
    for (auto entry = m_prefixes.begin(); entry != m_prefixes.end();) {
        auto &holdings = entry->second.holdings;
        std::erase_if(holdings, [](const Holding &holding) { return holding.calls == 0; });
        entry = holdings.empty() ? m_prefixes.erase(entry) : std::next(entry);
    }
    m_size -= std::exchange(m_idle, 0);
    return true;
}

} // namespace Cardamomhill

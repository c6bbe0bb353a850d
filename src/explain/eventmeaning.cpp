#include "explain/eventmeaning.h"

#include <array>

namespace Cardamomhill
{

namespace
{

/// A sentence for lines of one event whose field begins with a value; an empty field name fits every line of the event.
struct Meaning {
    std::string_view event;
    std::string_view field;
    std::string_view value;
    std::string_view text;
};

constexpr auto Meanings = std::to_array<Meaning>({
    {"routed", "reason", "last-resort", "every usable server had failed lately or was slow; this one was left"},
    {"routed", "reason", "least-loaded", "sent to the server with the least load of those that could take it"},
    {"attempt-ended", "end", "not-sent", "no connection was made, so the server never saw the call"},
    {"attempt-ended", "end", "not-run", "the server refused the call and states that it did not run it"},
    {"attempt-ended", "end", "other-instance", "another server has the address now; the call did not run"},
    {"attempt-ended",
     "cause",
     "the group makes no steps",
     "nothing came from any rank of the server's group for 0.7 s"},
    {"attempt-ended",
     "cause",
     "the stream is silent",
     "the server's other streams went on, this one did not for 1.2 s"},
    {"attempt-ended", "cause", "the server or its group cannot", "its failure domain, or that of a rank, is cut off"},
    {"attempt-ended", "cause", "the server turned slow", "the stream went on elsewhere because the server is slow"},
    {"attempt-ended", "end", "timed-out", "no answer in the time for one attempt; the call may have run"},
    {"attempt-ended", "end", "broken", "the connection broke before the answer was whole; the call may have run"},
    {"attempt-ended", "end", "server-error", "the server answered with an error; it counts as run"},
    {"attempt-ended", "end", "caller-gone", "the caller closed its connection, so the work was given up"},
    {"retry-decided", "verdict", "not-repeatable", "it may have run and must not run twice, so it was not sent again"},
    {"retry-decided", "verdict", "budget-empty", "this host had used up its part of the second attempts"},
    {"retry-decided", "verdict", "attempts-used", "the route allows no further attempt"},
    {"retry-decided", "verdict", "too-late", "too little time was left for a further attempt"},
    {"retry-decided", "verdict", "retry", "it was sent again"},
    {"refused", "detail", "all-full", "every server had as many calls waiting as it may"},
    {"refused", "detail", "groups-closed", "all groups of the service were forming anew or cut off"},
    {"refused", "detail", "all-tried", "each server of the service had been tried"},
    {"refused", "detail", "no-server", "no server of the service is registered"},
    {"refused", "status", "401", "the key belongs to no organisation in the configuration in force"},
    {"refused", "status", "404", "the configuration in force has no route for this host and path"},
    {"refused", "problem", "not-ready", "the process had no configuration yet"},
    {"refused", "problem", "not-run", "the servers that were asked did not run it, and no further attempt was allowed"},
    {"ended", "outcome", "unknown", "the caller got 502: a server may have run the call"},
    {"ended", "outcome", "timed-out", "the caller got 504: a server may have run the call"},
    {"ended", "outcome", "cut", "the stream was broken off in the middle; what came before is right"},
    {"ended", "outcome", "server-error", "the caller got the server's own error"},
    {"ended", "outcome", "delivered", "the caller got the whole answer"},
    {"ended", "outcome", "caller-gone", "the caller left first"},
});

/// A part of a process's state and the events that tell it.
struct Topic {
    std::string_view event;
    std::string_view topic;
    /// Field that tells several of a topic apart.
    std::string_view key;
};

constexpr auto Topics = std::to_array<Topic>({
    {"started", "process", ""},
    {"draining", "process", ""},
    {"exit", "process", ""},
    {"configuration-in-force", "configuration", ""},
    {"store-lost", "store ", "kind"},
    {"store-regained", "store ", "kind"},
    {"unreachable-domains", "failure domains", ""},
    {"cut-off", "readiness", ""},
    {"serving-again", "readiness", ""},
    {"slow-servers", "slow servers", ""},
    {"silent-hosts", "silent hosts", ""},
    {"switch-phase", "expert map of ", "group"},
    {"server-present", "server ", "server"},
    {"server-leaving", "server ", "server"},
    {"server-gone", "server ", "server"},
});

} // namespace

std::string_view meaningOf(const LogLine &line)
{
    for (const auto &meaning : Meanings) {
        if (meaning.event == line.event && line.field(meaning.field).starts_with(meaning.value)) {
            return meaning.text;
        }
    }
    return {};
}

std::string topicOf(const LogLine &line)
{
    for (const auto &topic : Topics) {
        if (topic.event == line.event) {
            return std::string(topic.topic) + (topic.key.empty() ? std::string() : line.field(topic.key));
        }
    }
    return {};
}

} // namespace Cardamomhill

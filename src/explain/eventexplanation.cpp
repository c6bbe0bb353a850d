#include "explain/eventexplanation.h"

#include <array>

namespace Cardamomhill
{

namespace
{

/// Explanation of log lines of one event in which the value of a field starts with the given text. If the field name
/// and the value are empty, it applies to all lines of the event.
struct Explanation {
    std::string_view event;
    std::string_view field;
    std::string_view value;
    std::string_view text;
};

constexpr auto Explanations = std::to_array<Explanation>({
    {"routed",
     "reason",
     "last-resort",
     "every usable server had failed recently or was slow; this one was the last resort"},
    {"routed", "reason", "least-loaded", "sent to the server with the least load of those that could take it"},
    {"routed",
     "reason",
     "holds-prompt",
     "sent to a server that holds the beginning of the prompt, since reading it again elsewhere takes longer than the "
     "wait there"},
    {"routed",
     "reason",
     "soonest-response",
     "chosen by expected response times although another server is less loaded, which is farther away or slower or is "
     "shown as less loaded by notices that are up to 0.3 s old"},
    {"attempt-ended", "end", "not-sent", "no connection was made, so the server did not receive the call"},
    {"attempt-ended",
     "end",
     "withdrawn",
     "while it was connecting, the server stated that it takes no calls now, so it was not sent"},
    {"attempt-ended", "end", "not-run", "the server refused the call and states that it did not run it"},
    {"attempt-ended", "end", "other-instance", "another server uses the address now; the call did not run"},
    {"attempt-ended",
     "cause",
     "the group makes no steps",
     "nothing was received from any rank of the server's group for 0.7 s (1.6 s if no stream of this host had begun "
     "there)"},
    {"attempt-ended",
     "cause",
     "no answer for half of the time",
     "the server had not begun to answer, and another one could take the call"},
    {"attempt-ended",
     "cause",
     "the stream is silent",
     "nothing was received on this stream for 1.2 s, unlike on the server's other streams"},
    {"attempt-ended",
     "cause",
     "the server or its group cannot",
     "the failure domain of the server or of one of its ranks is unreachable"},
    {"attempt-ended",
     "cause",
     "the server turned slow",
     "the server is slow, so the stream was continued on another server"},
    {"attempt-ended", "end", "timed-out", "no answer within the timeout of one attempt; the call may have run"},
    {"attempt-ended", "end", "broken", "the connection was lost before the answer was complete; the call may have run"},
    {"attempt-ended", "end", "server-error", "the server answered with an error; it counts as run"},
    {"attempt-ended", "end", "superseded", "another attempt, which ran beside this one, delivered the answer"},
    {"attempt-ended", "end", "caller-gone", "the caller closed its connection, so the attempt was cancelled"},
    {"continuation-begun",
     "",
     "",
     "its server was silent, so another one was asked to continue the stream while the first was kept"},
    {"retry-decided", "verdict", "not-repeatable", "it may have run and must not run twice, so it was not sent again"},
    {"retry-decided", "verdict", "not-resumable", "no other server could continue what the caller had received"},
    {"retry-decided", "verdict", "budget-empty", "this host had used up its share of the retry budget"},
    {"retry-decided", "verdict", "attempts-used", "the route allows no further attempt"},
    {"retry-decided", "verdict", "prompt-blocked", "servers crashed under a part of its prompt, which is blocked"},
    {"retry-decided",
     "verdict",
     "prompt-suspected",
     "its connection broke after another server had crashed under a part of its prompt"},
    {"retry-decided", "verdict", "too-late", "too little time was left before the deadline for a further attempt"},
    {"retry-decided", "verdict", "retry", "it was sent again"},
    {"refused", "detail", "all-full", "every server had its largest allowed number of waiting calls"},
    {"refused", "detail", "all-held", "every server had refused a call and asked for no calls for a while"},
    {"refused",
     "detail",
     "service-stopped",
     "no engine of the service sent an event to this host while calls to it failed"},
    {"refused", "detail", "groups-closed", "all groups of the service were re-forming or unreachable"},
    {"refused", "detail", "evacuated", "every server that could take it is in an evacuated failure domain"},
    {"refused", "detail", "all-tried", "each server of the service had been tried"},
    {"refused", "detail", "no-server", "no server of the service is registered"},
    {"refused", "problem", "prompt-blocked", "servers crashed under a part of its prompt, which is blocked"},
    {"refused", "status", "401", "the key belongs to no organisation in the configuration in force"},
    {"refused", "status", "404", "the configuration in force has no route for this host and path"},
    {"refused", "detail", "the host is stopping", "calls like it usually do not end before the process is killed"},
    {"refused",
     "detail",
     "no evacuations are known yet",
     "the process had not yet learned which failure domains are evacuated"},
    {"refused", "problem", "not-ready", "the process had no configuration yet"},
    {"refused", "problem", "not-run", "the servers that were asked did not run it, and no further attempt was allowed"},
    {"ended-early", "", "", "the host was about to be killed, so it gave the call up"},
    {"taken-while-draining",
     "",
     "",
     "it arrived after SIGTERM; without a line `ended` it was cut when the process was killed"},
    {"ended", "outcome", "unknown", "the caller got 502: a server may have run the call"},
    {"ended", "outcome", "timed-out", "the caller got 504: a server may have run the call"},
    {"ended", "outcome", "cut", "the stream was cut off; the events sent before are correct"},
    {"ended", "outcome", "server-error", "the caller got the server's own error"},
    {"ended", "outcome", "delivered", "the caller got the whole answer"},
    {"ended", "outcome", "caller-gone", "the caller closed its connection before the answer was complete"},
});

/// Assigns an event to the part of a process's state that it reports.
struct Topic {
    std::string_view event;
    std::string_view topic;
    /// Log field whose value is appended to the topic, such as the server's name; empty if there is none.
    std::string_view key;
};

constexpr auto Topics = std::to_array<Topic>({
    {"started", "process", ""},
    {"draining", "process", ""},
    {"listener-closed", "process", ""},
    {"drain-progress", "process", ""},
    {"thread-drained", "process", ""},
    {"exit", "process", ""},
    {"stopped", "process", ""},
    {"configuration-in-force", "configuration", ""},
    {"store-lost", "store ", "kind"},
    {"store-regained", "store ", "kind"},
    {"watch-missed-changes", "watch ", "kind"},
    {"unreachable-domains", "failure domains", ""},
    {"domain-evacuated", "evacuation of ", "failure_domain"},
    {"domain-restored", "evacuation of ", "failure_domain"},
    {"cut-off", "readiness", ""},
    {"serving-again", "readiness", ""},
    {"slow-servers", "slow servers", ""},
    {"silent-hosts", "silent hosts", ""},
    {"switch-phase", "expert map of ", "group"},
    {"server-present", "server ", "server"},
    {"server-leaving", "server ", "server"},
    {"server-held", "server ", "server"},
    {"server-gone", "server ", "server"},
});

} // namespace

std::string_view explanationOf(const LogLine &line)
{
    for (const auto &explanation : Explanations) {
        if (explanation.event == line.event && line.field(explanation.field).starts_with(explanation.value)) {
            return explanation.text;
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

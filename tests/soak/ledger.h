#pragma once

#include "core/clocktypes.h"
#include "traffic/callkind.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// Records what callers sent and received and what servers ran, and checks the guarantees of the gateway on it.
class Ledger
{
public:
    void sent(const std::string &call, CallKind kind, std::size_t host);
    /// A server started to run the call.
    void ran(const std::string &call, const std::string &organisation);
    /// The caller received the head of an answer.
    void answered(const std::string &call, unsigned status);
    /// Whether all servers of the services have stopped; a call that is rejected meanwhile must not run, whatever its
    /// kind.
    void setOutage(bool isOut);
    /// The connection was closed without an answer.
    /// @param isExcused whether a fault at the host explains it
    void unanswered(const std::string &call, bool isExcused);

    /// Adds a violation that was detected during the run.
    void addViolation(const std::string &guarantee, const std::string &detail);

    /// The host to which the call was sent; null if no caller sent it.
    const std::size_t *hostOf(const std::string &call) const;

    /// All violations, including those that only the complete record shows.
    std::vector<std::string> violations() const;

    /// Number of calls by outcome: a status, "unanswered", or "left" if neither was recorded, as when the caller left.
    std::map<std::string, std::size_t> outcomes() const;

    /// Number of calls that were rejected while all servers had stopped.
    std::size_t rejectedInOutageCount() const;

private:
    struct Call {
        CallKind kind = CallKind::Idempotent;
        std::size_t host = 0;
        std::uint32_t runs = 0;
        unsigned status = 0;
        bool isUnanswered = false;
        bool isExcused = false;
        bool wasRejectedInOutage = false;
    };

    std::map<std::string, Call> m_calls;
    std::vector<std::string> m_violations;
    bool m_isOut = false;
};

} // namespace Cardamomhill

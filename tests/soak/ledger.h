#pragma once

#include "core/clocktypes.h"
#include "traffic/callkind.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cardamomhill
{

/// What callers sent and got and what servers ran, and the promises that these must keep.
class Ledger
{
public:
    void sent(const std::string &call, CallKind kind, std::size_t host);
    /// A server began to work on the call.
    void ran(const std::string &call, const std::string &organisation);
    /// The caller got the head of an answer.
    void answered(const std::string &call, unsigned status);
    /// The connection ended without an answer.
    /// @param isExcused a fault at the host explains it
    void unanswered(const std::string &call, bool isExcused);

    /// Notes a broken promise that was seen while it happened.
    void broke(const std::string &promise, const std::string &detail);

    /// The host to which the call was sent; nothing is known of an unasked one.
    const std::size_t *hostOf(const std::string &call) const;

    /// All broken promises, those included that show only in the end.
    std::vector<std::string> violations() const;

    /// Counts by outcome, for the report.
    std::map<std::string, std::size_t> outcomes() const;

private:
    struct Call {
        CallKind kind = CallKind::Idempotent;
        std::size_t host = 0;
        std::uint32_t runs = 0;
        unsigned status = 0;
        bool isUnanswered = false;
        bool isExcused = false;
    };

    std::map<std::string, Call> m_calls;
    std::vector<std::string> m_broken;
};

} // namespace Cardamomhill

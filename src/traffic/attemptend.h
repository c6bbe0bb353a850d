#pragma once

#include "core/nametable.h"

#include <cstdint>

namespace Cardamomhill
{

/// How one attempt of a call at a backend server ended.
enum class AttemptEnd : std::uint8_t {
    /// The whole answer was delivered.
    Delivered,
    CallerGone,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// While the attempt was connecting, the server stated that it takes no calls now or its failure domain was
    /// evacuated, so nothing was sent.
    Withdrawn,
    /// The server states that it did not run the call.
    NotRun,
    /// Another instance now has the address; it did not run the call.
    OtherInstance,
    /// The server ran the call and answered with an error.
    ServerError,
    /// The connection broke or the answer was unusable; the call may have run.
    Broken,
    /// The deadline of the call passed; the call may have run.
    TimedOut,
    /// Another attempt of the call, which ran beside this one, delivers the answer.
    Superseded,
};

constexpr auto nameTable(AttemptEnd)
{
    return std::to_array<NamedValue<AttemptEnd>>({
        {AttemptEnd::Delivered, "delivered"},
        {AttemptEnd::CallerGone, "caller-gone"},
        {AttemptEnd::NotSent, "not-sent"},
        {AttemptEnd::Withdrawn, "withdrawn"},
        {AttemptEnd::NotRun, "not-run"},
        {AttemptEnd::OtherInstance, "other-instance"},
        {AttemptEnd::ServerError, "server-error"},
        {AttemptEnd::Broken, "broken"},
        {AttemptEnd::TimedOut, "timed-out"},
        {AttemptEnd::Superseded, "superseded"},
    });
}

/// The number of failures that an attempt with this end counts as.
constexpr double failureWeight(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Delivered:
    case AttemptEnd::CallerGone:
    case AttemptEnd::Withdrawn:
    case AttemptEnd::Superseded:
        return 0;
    case AttemptEnd::ServerError:
        return 0.3;
    case AttemptEnd::NotRun:
        return 0.4;
    case AttemptEnd::NotSent:
    case AttemptEnd::OtherInstance:
    case AttemptEnd::Broken:
    case AttemptEnd::TimedOut:
        return 1;
    }
    return 0;
}

/// Whether it is certain that the attempt did not run the call.
constexpr bool didNotRun(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::Withdrawn || end == AttemptEnd::NotRun
        || end == AttemptEnd::OtherInstance;
}

} // namespace Cardamomhill

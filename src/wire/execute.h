#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// Asks an agent to execute one attempt of a request.
struct Execute {
    std::uint64_t attempt = 0;
    std::string request;
    std::string service;
    std::string organisation;
    std::string method;
    /// Path and query of the request to the backend server.
    std::string target;
    std::string contentType;
    std::string body;
    /// Empty for an idempotent request.
    std::string idempotencyKey;
    /// Time until the deadline of the request, in ms.
    std::uint64_t remainingMs = 0;
    /// Priority class of the profile; 0 is the most urgent.
    std::uint8_t priority = 0;

    MSGPACK_DEFINE_ARRAY(attempt,
                         request,
                         service,
                         organisation,
                         method,
                         target,
                         contentType,
                         body,
                         idempotencyKey,
                         remainingMs,
                         priority)
};

} // namespace Cardamomhill

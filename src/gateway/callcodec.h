#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "gateway/callheaderror.h"
#include "net/httpclientconnection.h"
#include "net/httpexchange.h"
#include "traffic/answerhead.h"
#include "traffic/callhead.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cardamomhill
{

/// What the gateway adds to a caller's request for the backend server.
struct ForwardedCall {
    /// The only server instance that may run the call.
    BackendServerId server;
    /// Of the caller's key; empty if no key was needed.
    OrganisationId organisation;
    /// Time until the call's deadline.
    Milliseconds remainingTime{0};
    /// How urgent the call is, 0 first; nothing if all calls to the service are equally urgent.
    std::optional<std::uint32_t> priority;
    /// The stream resumes after the event with this id; empty for the whole stream.
    std::string lastEventId;
};

/// Translates between the platform's HTTP format of calls and answers and the gateway's types. Holds no policy.
class CallCodec
{
public:
    virtual ~CallCodec() = default;

    virtual Result<CallHead, CallHeaderError> parseCall(const HttpRequest::header_type &request) const = 0;

    /// Rewrites a caller's request into the one that is sent to a server.
    virtual void prepareForServer(HttpRequest &request, const ForwardedCall &call) const = 0;

    virtual AnswerHead parseAnswer(const HttpClientConnection::Head &head) const = 0;
};

} // namespace Cardamomhill

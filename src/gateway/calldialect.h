#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "core/result.h"
#include "gateway/callheaderror.h"
#include "net/httpcall.h"
#include "net/httpexchange.h"
#include "traffic/answerhead.h"
#include "traffic/callhead.h"

#include <optional>
#include <string>

namespace Cardamomhill
{

/// What a backend server is told of a call beside the caller's own words.
struct ServerCall {
    /// The only instance that may run the call.
    BackendServerId server;
    /// Empty if the route needs no key.
    OrganisationId organisation;
    /// How long an answer is still of use.
    Milliseconds remaining{0};
    /// Goes on with a stream after this event; empty for the whole stream.
    std::string lastEventId;
};

/// How calls and answers spell what the gateway needs to know. Decides nothing.
class CallDialect
{
public:
    virtual ~CallDialect() = default;

    virtual Result<CallHead, CallHeadError> readCall(const HttpRequest &request) const = 0;

    /// Turns a caller's request into the one for a server.
    virtual void prepareForServer(HttpRequest &request, const ServerCall &call) const = 0;

    virtual AnswerHead readAnswer(const HttpCall::Head &head) const = 0;
};

} // namespace Cardamomhill

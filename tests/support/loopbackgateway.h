#pragma once

#include "support/gatewayfleet.h"

namespace Cardamomhill
{

/// A fleet of one gateway.
class LoopbackGateway : public GatewayFleet
{
public:
    explicit LoopbackGateway(const std::vector<std::string> &serverIds)
        : GatewayFleet(1, serverIds)
    {
    }

    Task<> waitForLog(std::string text)
    {
        return GatewayFleet::waitForLog(0, std::move(text));
    }

    Task<CallResult> call(HttpRequest request)
    {
        return GatewayFleet::call(0, std::move(request));
    }

    std::string log() const
    {
        return GatewayFleet::log(0);
    }
};

} // namespace Cardamomhill

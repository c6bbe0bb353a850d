#pragma once

#include "net/notification.h"

#include <cstdint>
#include <string>

namespace Cardamomhill
{

/// A request at a rank of an EngineGroup. It makes one event in each pass in which it runs.
struct EngineStream {
    explicit EngineStream(asio::io_context &context)
        : changed(context)
    {
    }

    std::string id;
    int madeEvents = 0;
    int lastEvent = 0;
    /// The first pass in which it may run.
    std::uint64_t readyAt = 0;
    bool hasRun = false;
    bool isAbandoned = false;
    Notification changed;
};

} // namespace Cardamomhill

#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"
#include "standins/backendfaults.h"

#include <cstdint>
#include <list>
#include <string>

namespace Cardamomhill
{

class HttpExchange;

/// A stand-in model engine: continuous batching, one token for each running request and step.
class ModelEngine
{
public:
    ModelEngine(asio::io_context &context, Milliseconds stepTime);

    /// POST /generate with {"prompt", "tokens", "stream"}.
    Task<> generate(HttpExchange &exchange);

    /// GET /load.
    std::string load() const;

    void setFaults(const BackendFaults &faults);

private:
    struct Sequence;

    Task<> stepLoop();

    asio::io_context &m_context;
    Milliseconds m_stepTime;
    asio::steady_timer m_stepTimer;
    std::list<Sequence *> m_running;
    bool m_isStepping = false;
    std::uint64_t m_steps = 0;
    std::uint64_t m_cancelled = 0;
    BackendFaults m_faults;
};

} // namespace Cardamomhill

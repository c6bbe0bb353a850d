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

/// A stand-in model engine with continuous batching: each step produces one token for every running request.
class ModelEngine
{
public:
    ModelEngine(asio::io_context &context, Milliseconds stepTime);

    /// Handles POST /generate with {"prompt", "tokens", "stream"}.
    Task<> generate(HttpExchange &exchange);

    /// The answer to GET /load: {"running", "steps", "cancelled"}.
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

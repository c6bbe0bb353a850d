#pragma once

#include "core/clocktypes.h"
#include "core/random.h"
#include "net/asio.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cardamomhill
{

class StoreWriter;

/// Evacuates a failure domain and takes it back at random times, and tells which calls may not reach it.
class RandomEvacuations
{
public:
    /// The failure domain that is evacuated.
    static constexpr const char *Domain = "d2";

    RandomEvacuations(asio::io_context &context, std::uint64_t seed, StoreWriter &store);

    /// The settings of a host that follows evacuations.
    static std::string settings();

    Task<> run(SteadyTime end);

    /// Since when the store has the evacuation; SteadyTime::max() while there is none.
    SteadyTime since() const;
    /// Whether calls to the domain must have stopped by now at hosts that reach the store.
    bool isInForce() const;

    /// Number of evacuations that were begun.
    std::size_t count() const;

private:
    Task<> sleep(Milliseconds time);

    asio::io_context &m_context;
    Random m_random;
    StoreWriter &m_store;
    SteadyTime m_since = SteadyTime::max();
    std::size_t m_count = 0;
};

} // namespace Cardamomhill

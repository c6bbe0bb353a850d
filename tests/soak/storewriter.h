#pragma once

#include "core/clocktypes.h"
#include "net/asio.h"

#include <string>

namespace Cardamomhill
{

class Ledger;

/// Writes to the store as operators and servers do, and sets the faults of its stand-in.
class StoreWriter
{
public:
    StoreWriter(asio::io_context &context, const tcp::endpoint &store, Ledger &ledger);

    /// Repeats a write until the store accepts it; returns the time of the acknowledgement.
    Task<SteadyTime> write(std::string method, std::string path, std::string document);
    Task<> setFaults(std::string faults);

private:
    asio::io_context &m_context;
    tcp::endpoint m_store;
    Ledger &m_ledger;
};

} // namespace Cardamomhill

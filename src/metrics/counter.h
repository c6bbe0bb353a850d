#pragma once

#include <atomic>
#include <cstdint>

namespace Cardamomhill
{

/// A number of events. Any thread may add to it.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace Cardamomhill

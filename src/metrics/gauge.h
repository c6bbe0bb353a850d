#pragma once

#include <atomic>
#include <cstdint>

namespace Cardamomhill
{

/// A quantity that rises and falls. Any thread may change it.
class Gauge
{
public:
    void add(std::int64_t amount)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

} // namespace Cardamomhill

#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Source of the fencing tokens and map versions of one term of a group's coordinator. Each is greater than all that an
/// earlier term used, since a term is numbered by the store's revision at which it began.
class OrderTokens
{
public:
    explicit OrderTokens(std::uint64_t term)
        : m_next(term << BitsPerTerm)
    {
    }

    std::uint64_t next()
    {
        return m_next++;
    }

private:
    /// Tokens of one term. A token stays exact as a JSON number (2^53) up to 2^31 revisions of the store.
    static constexpr unsigned BitsPerTerm = 22;

    std::uint64_t m_next;
};

} // namespace Cardamomhill

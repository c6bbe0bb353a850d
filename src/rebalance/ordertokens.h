#pragma once

#include <cstdint>

namespace Cardamomhill
{

/// Generates the fencing tokens and map versions of one term of a group's coordinator. Each is greater than all of
/// earlier terms, since a term is numbered by the store's revision at which it began.
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
    /// Bits for the tokens of one term. JSON numbers are exact up to 2^53, so this allows store revisions up to 2^31.
    static constexpr unsigned BitsPerTerm = 22;

    std::uint64_t m_next;
};

} // namespace Cardamomhill

#include "stream/streamdigest.h"

#include <array>
#include <new>

#include <xxhash.h>

namespace Cardamomhill::internal
{

namespace
{

constexpr std::size_t LengthBytes = 8;
constexpr unsigned BitsPerByte = 8;

/// Kind of the frame and its length in little-endian order, so that hosts of either byte order compute the same digest.
std::array<unsigned char, LengthBytes + 1> frameHeader(FrameKind kind, std::uint64_t length)
{
    std::array<unsigned char, LengthBytes + 1> header{};
    header[0] = static_cast<unsigned char>(kind);
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        header[i + 1] = static_cast<unsigned char>(length >> (i * BitsPerByte));
    }
    return header;
}

} // namespace

void StreamDigest::StateDeleter::operator()(XXH3_state_s *state) const
{
    XXH3_freeState(state);
}

StreamDigest::StreamDigest()
    : m_state(XXH3_createState())
{
    if (!m_state) {
        throw std::bad_alloc();
    }
    XXH3_64bits_reset(m_state.get());
}

void StreamDigest::update(FrameKind kind, std::string_view payload)
{
    const auto header = frameHeader(kind, payload.size());
    XXH3_64bits_update(m_state.get(), header.data(), header.size());
    XXH3_64bits_update(m_state.get(), payload.data(), payload.size());
}

std::uint64_t StreamDigest::value() const
{
    return XXH3_64bits_digest(m_state.get());
}

} // namespace Cardamomhill::internal

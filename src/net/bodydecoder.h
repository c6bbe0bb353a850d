#pragma once

#include "core/result.h"
#include "net/chunkdecoder.h"
#include "net/decodedpiece.h"
#include "net/neterror.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace Cardamomhill
{

/// A body whose length the head states; zero for a message without a body.
struct FixedLengthBody {
    std::uint64_t remaining = 0;
};

/// A body that ends with its connection.
struct BodyUntilClose {
    bool isClosed = false;
};

/// Decodes the body of a message, however its end is marked.
class BodyDecoder
{
public:
    using Framing = std::variant<FixedLengthBody, ChunkDecoder, BodyUntilClose>;

    explicit BodyDecoder(Framing framing);

    /// Decodes up to the end of the next data in the input.
    Result<DecodedPiece, NetError> decode(std::string_view input);

    /// Notes that the connection has ended. Fails if the body is incomplete.
    Result<void, NetError> close();

    bool isDone() const;

private:
    Framing m_framing;
};

} // namespace Cardamomhill

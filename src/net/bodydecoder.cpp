#include "net/bodydecoder.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

struct Decode {
    Result<DecodedPiece, NetError> operator()(FixedLengthBody &body) const
    {
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(body.remaining, input.size()));
        body.remaining -= size;
        return DecodedPiece{size, input.substr(0, size)};
    }

    Result<DecodedPiece, NetError> operator()(ChunkDecoder &chunks) const
    {
        return chunks.decode(input);
    }

    Result<DecodedPiece, NetError> operator()(BodyUntilClose & /*body*/) const
    {
        return DecodedPiece{input.size(), input};
    }

    std::string_view input;
};

struct IsDone {
    bool operator()(const FixedLengthBody &body) const
    {
        return body.remaining == 0;
    }

    bool operator()(const ChunkDecoder &chunks) const
    {
        return chunks.isDone();
    }

    bool operator()(const BodyUntilClose &body) const
    {
        return body.isClosed;
    }
};

} // namespace

BodyDecoder::BodyDecoder(Framing framing)
    : m_framing(framing)
{
}

Result<DecodedPiece, NetError> BodyDecoder::decode(std::string_view input)
{
    return std::visit(Decode{input}, m_framing);
}

Result<void, NetError> BodyDecoder::close()
{
    if (auto *body = std::get_if<BodyUntilClose>(&m_framing)) {
        body->isClosed = true;
    }
    if (!isDone()) {
        return failure(NetError{NetErrorCode::ReadFailed, "partial message"});
    }
    return success();
}

bool BodyDecoder::isDone() const
{
    return std::visit(IsDone(), m_framing);
}

} // namespace Cardamomhill

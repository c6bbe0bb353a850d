#include "net/chunkdecoder.h"

#include <algorithm>
#include <limits>

namespace Cardamomhill
{

namespace
{

/// As much as the fields before a body may have in an answer.
constexpr std::size_t MaxTrailerBytes = 8 * 1024;
/// Extensions of a few hundred bytes are known, such as signatures.
constexpr std::size_t MaxSizeLineBytes = 4 * 1024;
constexpr unsigned HexBase = 16;

bool isHexDigit(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

unsigned hexValue(char digit)
{
    constexpr int FirstLetterValue = 10;
    if (digit <= '9') {
        return static_cast<unsigned>(digit - '0');
    }
    return static_cast<unsigned>((digit >= 'a' ? digit - 'a' : digit - 'A') + FirstLetterValue);
}

/// Whether a byte may be part of the name of a field (RFC 9110, section 5.6.2).
bool isTokenCharacter(char byte)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || Symbols.find(byte) != std::string_view::npos;
}

/// Whether a byte may be part of the value of a field or of an extension.
bool isTextCharacter(char byte)
{
    constexpr unsigned char FirstVisible = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= FirstVisible && code != Delete);
}

} // namespace

bool ChunkDecoder::isDone() const
{
    return m_state == State::Done;
}

Result<DecodedPiece, NetError> ChunkDecoder::decode(std::string_view input)
{
    std::size_t position = 0;
    while (position < input.size() && m_state != State::Done) {
        if (m_state == State::Data) {
            const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size() - position));
            m_remaining -= size;
            m_state = m_remaining == 0 ? State::DataReturn : State::Data;
            return DecodedPiece{position + size, input.substr(position, size)};
        }
        if (!advance(input[position])) {
            return failure(NetError{NetErrorCode::MalformedMessage, "bad chunk"});
        }
        BOOST_OUTCOME_TRY(checkLimits());
        ++position;
    }
    return DecodedPiece{position, {}};
}

Result<void, NetError> ChunkDecoder::checkLimits() const
{
    if (m_sizeLineBytes > MaxSizeLineBytes) {
        return failure(NetError{NetErrorCode::MalformedMessage, "chunk extensions over the limit"});
    }
    if (m_trailerBytes > MaxTrailerBytes) {
        return failure(NetError{NetErrorCode::HeaderTooLarge, "trailer fields over the limit"});
    }
    return success();
}

bool ChunkDecoder::advance(char byte)
{
    const auto expect = [this, byte](char expected, State next) {
        m_state = byte == expected ? next : m_state;
        return byte == expected;
    };
    switch (m_state) {
    case State::SizeStart:
    case State::Size:
        ++m_sizeLineBytes;
        return advanceSize(byte);
    case State::Extension:
        ++m_sizeLineBytes;
        m_state = byte == '\r' ? State::SizeLineFeed : State::Extension;
        return byte == '\r' || isTextCharacter(byte);
    case State::SizeLineFeed:
        m_sizeLineBytes = 0;
        return expect('\n', afterSize());
    case State::DataReturn:
        return expect('\r', State::DataLineFeed);
    case State::DataLineFeed:
        return expect('\n', State::SizeStart);
    case State::TrailerStart:
        ++m_trailerBytes;
        m_state = byte == '\r' ? State::FinalLineFeed : State::TrailerName;
        return byte == '\r' || isTokenCharacter(byte);
    case State::TrailerName:
        ++m_trailerBytes;
        m_state = byte == ':' ? State::TrailerValue : State::TrailerName;
        return byte == ':' || isTokenCharacter(byte);
    case State::TrailerValue:
        ++m_trailerBytes;
        m_state = byte == '\r' ? State::TrailerLineFeed : State::TrailerValue;
        return byte == '\r' || isTextCharacter(byte);
    case State::TrailerLineFeed:
        return expect('\n', State::TrailerStart);
    case State::FinalLineFeed:
        return expect('\n', State::Done);
    case State::Data:
    case State::Done:
        return false;
    }
    return false;
}

bool ChunkDecoder::advanceSize(char byte)
{
    if (isHexDigit(byte)) {
        if (m_remaining > std::numeric_limits<std::uint64_t>::max() / HexBase) {
            return false;
        }
        m_remaining = m_remaining * HexBase + hexValue(byte);
        m_state = State::Size;
        return true;
    }
    const bool hasSize = m_state == State::Size;
    m_state = byte == '\r' ? State::SizeLineFeed : State::Extension;
    return hasSize && (byte == '\r' || byte == ';' || byte == ' ' || byte == '\t');
}

ChunkDecoder::State ChunkDecoder::afterSize() const
{
    return m_remaining == 0 ? State::TrailerStart : State::Data;
}

} // namespace Cardamomhill

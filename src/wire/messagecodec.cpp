#include "wire/messagecodec.h"

#include "wire/msgpackcodec.h"

#include <array>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t EnvelopeFields = 3;

using Decoder = Message (*)(const msgpack::object &);

template<std::size_t Index>
Message decodeBody(const msgpack::object &body)
{
    return body.as<std::variant_alternative_t<Index, Message>>();
}

template<std::size_t... Indices>
constexpr std::array<Decoder, sizeof...(Indices)> makeDecoders(std::index_sequence<Indices...>)
{
    return {&decodeBody<Indices>...};
}

constexpr auto Decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

void packMessage(msgpack::sbuffer &buffer, const Message &message)
{
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(EnvelopeFields);
    packer.pack(ProtocolVersion);
    packer.pack(static_cast<std::uint64_t>(message.index()));
    std::visit([&packer](const auto &body) { packer.pack(body); }, message);
}

Result<Message, WireError> decodeEnvelope(const msgpack::object &envelope)
{
    if (envelope.type != msgpack::type::ARRAY || envelope.via.array.size != EnvelopeFields) {
        return failure(WireError{WireErrorCode::Malformed, 0});
    }
    const auto *fields = envelope.via.array.ptr;
    const auto version = fields[0].as<std::uint64_t>();
    if (version != ProtocolVersion) {
        return failure(WireError{WireErrorCode::UnsupportedVersion, version});
    }
    const auto type = fields[1].as<std::uint64_t>();
    if (type >= Decoders.size()) {
        return failure(WireError{WireErrorCode::UnknownType, type});
    }
    return Decoders.at(type)(fields[2]);
}

} // namespace

std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    packMessage(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::string encodeFramed(const Message &message)
{
    msgpack::sbuffer buffer;
    const std::array<char, LengthPrefixBytes> placeholder{};
    buffer.write(placeholder.data(), placeholder.size());
    packMessage(buffer, message);
    std::string bytes(buffer.data(), buffer.size());
    const auto length = static_cast<std::uint32_t>(bytes.size() - LengthPrefixBytes);
    for (std::size_t i = 0; i < LengthPrefixBytes; ++i) {
        bytes[i] = static_cast<char>((length >> (8 * (LengthPrefixBytes - 1 - i))) & 0xffU);
    }
    return bytes;
}

Result<Message, WireError> decodeMessage(std::string_view bytes)
{
    return unpackMsgpackWith<Message>(bytes, decodeEnvelope);
}

Result<std::size_t, WireError> decodeLength(std::string_view prefix)
{
    std::size_t length = 0;
    for (const char byte : prefix.substr(0, LengthPrefixBytes)) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    if (length > MaxMessageBytes) {
        return failure(WireError{WireErrorCode::TooLarge, length});
    }
    return length;
}

} // namespace Cardamomhill

#include "membership/membershipmessage.h"

#include "core/msgpackinput.h"

#include <optional>

namespace Cardamomhill
{

namespace
{

constexpr std::uint64_t FormatVersion = 1;
constexpr std::uint32_t EnvelopeLength = 3;

template<std::size_t Index = 0>
std::optional<MembershipMessage> decodeContent(std::uint64_t type, const msgpack::object &content)
{
    if constexpr (Index < std::variant_size_v<MembershipMessage>) {
        if (type == Index) {
            return content.as<std::variant_alternative_t<Index, MembershipMessage>>();
        }
        return decodeContent<Index + 1>(type, content);
    } else {
        return std::nullopt;
    }
}

MembershipError malformed(const char *detail)
{
    return MembershipError{MembershipErrorCode::Malformed, detail};
}

Result<MembershipMessage, MembershipError> decodeEnvelope(const msgpack::object &envelope)
{
    if (envelope.type != msgpack::type::ARRAY || envelope.via.array.size != EnvelopeLength) {
        return failure(malformed("message is not an array of format version, type and content"));
    }
    const auto *parts = envelope.via.array.ptr;
    const auto version = parts[0].as<std::uint64_t>();
    if (version != FormatVersion) {
        return failure(MembershipError{MembershipErrorCode::UnknownVersion, std::to_string(version)});
    }
    const auto type = parts[1].as<std::uint64_t>();
    auto message = decodeContent(type, parts[2]);
    if (!message.has_value()) {
        return failure(MembershipError{MembershipErrorCode::UnknownType, std::to_string(type)});
    }
    return std::move(*message);
}

} // namespace

std::string encode(const MembershipMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(EnvelopeLength);
    packer.pack(FormatVersion);
    packer.pack(static_cast<std::uint64_t>(message.index()));
    std::visit([&](const auto &content) { packer.pack(content); }, message);
    return std::string(buffer.data(), buffer.size());
}

Result<MembershipMessage, MembershipError> decodeMembershipMessage(std::string_view bytes)
{
    try {
        const auto handle = unpackObject(bytes);
        return decodeEnvelope(handle.get());
    } catch (const std::exception &error) {
        // msgpack reports truncated or mistyped input by exceptions.
        return failure(malformed(error.what()));
    }
}

} // namespace Cardamomhill

#include "group/groupmessage.h"

#include "core/msgpackinput.h"

#include <algorithm>
#include <utility>

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t messageParts = 7;

using Unpacker = GroupMessageBody (*)(const msgpack::object &);

template<std::size_t... Index>
constexpr auto bodyUnpackers(std::index_sequence<Index...>)
{
    return std::array<Unpacker, sizeof...(Index)>{+[](const msgpack::object &object) {
        return GroupMessageBody(object.as<std::variant_alternative_t<Index, GroupMessageBody>>());
    }...};
}

constexpr auto unpackers = bodyUnpackers(std::make_index_sequence<std::variant_size_v<GroupMessageBody>>());

Result<GroupMessage, GroupError> messageOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        return failure(GroupError{GroupErrorCode::Malformed, 0});
    }
    const msgpack::object *parts = object.via.array.ptr;
    const auto version = parts[0].as<std::uint32_t>();
    if (version != groupMessageVersion) {
        return failure(GroupError{GroupErrorCode::UnknownVersion, version});
    }
    if (object.via.array.size != messageParts) {
        return failure(GroupError{GroupErrorCode::Malformed, object.via.array.size});
    }
    const auto kind = parts[1].as<std::uint32_t>();
    if (kind >= unpackers.size()) {
        return failure(GroupError{GroupErrorCode::UnknownKind, kind});
    }
    GroupMessage message;
    message.group = GroupId(parts[2].as<std::string>());
    message.incarnation = parts[3].as<std::uint64_t>();
    message.rank = parts[4].as<std::uint32_t>();
    message.coordinatorRank = parts[5].as<std::uint32_t>();
    message.body = unpackers[kind](parts[6]);
    return message;
}

template<class Enum>
bool isNamed(Enum value)
{
    const auto rows = nameTable(Enum{});
    return std::any_of(rows.begin(), rows.end(), [value](const auto &row) { return row.value == value; });
}

/// msgpack converts any number to an enumeration, also values that this version of the wire format does not define.
bool hasKnownNames(const GroupMessageBody &body)
{
    if (const auto *refused = std::get_if<Refused>(&body)) {
        return isNamed(refused->reason);
    }
    if (const auto *request = std::get_if<ResolveRequest>(&body)) {
        return isNamed(request->resolution.outcome);
    }
    const auto *promised = std::get_if<Promised>(&body);
    return !promised || !promised->lastResolution || isNamed(promised->lastResolution->outcome);
}

template<class Value, class Read>
Result<Value, GroupError> unpackWith(std::string_view bytes, const Read &read)
{
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = unpackObject(bytes, offset);
        if (offset != bytes.size()) {
            return failure(GroupError{GroupErrorCode::Malformed, offset});
        }
        return read(handle.get());
    } catch (const msgpack::unpack_error &) {
        return failure(GroupError{GroupErrorCode::Malformed, 0});
    } catch (const msgpack::type_error &) {
        return failure(GroupError{GroupErrorCode::Malformed, 0});
    }
}

} // namespace

std::string packGroupMessage(const GroupMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(messageParts);
    packer.pack(groupMessageVersion);
    packer.pack(static_cast<std::uint32_t>(message.body.index()));
    packer.pack(message.group.value());
    packer.pack(message.incarnation);
    packer.pack(message.rank);
    packer.pack(message.coordinatorRank);
    std::visit([&packer](const auto &body) { packer.pack(body); }, message.body);
    return {buffer.data(), buffer.size()};
}

Result<GroupMessage, GroupError> unpackGroupMessage(std::string_view bytes)
{
    auto message = unpackWith<GroupMessage>(bytes, messageOf);
    // The msgpack library sets members missing from a short array to defaults; only the exact encoding is accepted.
    if (message && (!hasKnownNames(message.value().body) || packGroupMessage(message.value()) != bytes)) {
        return failure(GroupError{GroupErrorCode::Malformed, 0});
    }
    return message;
}

std::string packEngineRecord(const EngineRecord &record)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, record);
    return {buffer.data(), buffer.size()};
}

Result<EngineRecord, GroupError> unpackEngineRecord(std::string_view bytes)
{
    return unpackWith<EngineRecord>(bytes, [](const msgpack::object &object) -> Result<EngineRecord, GroupError> {
        return object.as<EngineRecord>();
    });
}

} // namespace Cardamomhill

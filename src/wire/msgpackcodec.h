#pragma once

#include "core/msgpackinput.h"
#include "core/result.h"
#include "wire/wireerror.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// Encodes a value with msgpack.
template<class T>
std::string packMsgpack(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Decodes msgpack bytes and returns the function's result for the decoded object. The exceptions that msgpack throws
/// for malformed input are converted to an error, so that none reaches the read loop of a connection.
template<class T, class Function>
Result<T, WireError> unpackMsgpackWith(std::string_view bytes, Function function)
{
    try {
        const auto handle = unpackObject(bytes);
        return function(handle.get());
    } catch (const msgpack::unpack_error &) {
        return failure(WireError{WireErrorCode::Malformed, bytes.size()});
    } catch (const msgpack::type_error &) {
        return failure(WireError{WireErrorCode::Malformed, bytes.size()});
    }
}

/// Decodes a value from msgpack bytes.
template<class T>
Result<T, WireError> unpackMsgpack(std::string_view bytes)
{
    return unpackMsgpackWith<T>(bytes, [](const msgpack::object &object) { return object.as<T>(); });
}

/// Decodes a value that is packed as an array of this many fields. Another length is an error: msgpack would leave the
/// fields that a shorter array lacks at their defaults.
template<class T>
Result<T, WireError> unpackMsgpackArray(std::string_view bytes, std::uint32_t fieldCount)
{
    return unpackMsgpackWith<T>(bytes, [&](const msgpack::object &object) -> Result<T, WireError> {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != fieldCount) {
            return failure(WireError{WireErrorCode::Malformed, bytes.size()});
        }
        return object.as<T>();
    });
}

} // namespace Cardamomhill

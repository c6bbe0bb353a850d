#pragma once

#include "core/msgpackinput.h"
#include "core/result.h"
#include "wire/wireerror.h"

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

} // namespace Cardamomhill

#include "wire/answerheadcodec.h"

namespace Cardamomhill
{

std::string encodeHead(const AnswerHead &head)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, head);
    return {buffer.data(), buffer.size()};
}

Result<AnswerHead, WireError> decodeHead(std::string_view payload)
{
    try {
        return msgpack::unpack(payload.data(), payload.size()).get().as<AnswerHead>();
    } catch (const msgpack::unpack_error &) {
        return failure(WireError{WireErrorCode::Malformed, payload.size()});
    } catch (const msgpack::type_error &) {
        return failure(WireError{WireErrorCode::Malformed, payload.size()});
    }
}

} // namespace Cardamomhill

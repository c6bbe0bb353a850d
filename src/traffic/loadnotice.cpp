#include "traffic/loadnotice.h"

#include "wire/msgpackcodec.h"

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 7;

} // namespace

std::string packNotice(const LoadNotice &notice)
{
    return packMsgpack(notice);
}

std::optional<LoadNotice> unpackNotice(std::string_view bytes)
{
    const auto read = [bytes](const msgpack::object &object) -> Result<LoadNotice, WireError> {
        // A shorter array would leave the remaining fields at their defaults.
        if (object.type != msgpack::type::ARRAY || object.via.array.size != FieldCount) {
            return failure(WireError{WireErrorCode::Malformed, bytes.size()});
        }
        return object.as<LoadNotice>();
    };
    auto notice = unpackMsgpackWith<LoadNotice>(bytes, read);
    const bool isKnown = notice.has_value() && notice.value().format == LoadNotice::CurrentFormat;
    return isKnown ? std::optional(std::move(notice.value())) : std::nullopt;
}

} // namespace Cardamomhill

#include "traffic/groupnotice.h"

#include "wire/msgpackcodec.h"

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 5;
constexpr auto LastEvent = static_cast<std::uint8_t>(GroupEvent::CoordinatorLeft);

} // namespace

std::string packGroupNotice(const GroupNotice &notice)
{
    return packMsgpack(notice);
}

std::optional<GroupNotice> unpackGroupNotice(std::string_view bytes)
{
    const auto read = [bytes](const msgpack::object &object) -> Result<GroupNotice, WireError> {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != FieldCount) {
            return failure(WireError{WireErrorCode::Malformed, bytes.size()});
        }
        return object.as<GroupNotice>();
    };
    auto notice = unpackMsgpackWith<GroupNotice>(bytes, read);
    const bool isKnown = notice.has_value() && notice.value().format == GroupNotice::CurrentFormat
        && notice.value().event <= LastEvent;
    return isKnown ? std::optional(std::move(notice.value())) : std::nullopt;
}

} // namespace Cardamomhill

#include "traffic/groupnotice.h"

#include "wire/msgpackcodec.h"

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 5;

} // namespace

std::string packGroupNotice(const GroupNotice &notice)
{
    return packMsgpack(notice);
}

std::optional<GroupNotice> unpackGroupNotice(std::string_view bytes)
{
    auto notice = unpackMsgpackArray<GroupNotice>(bytes, FieldCount);
    const bool isKnown = notice.has_value() && notice.value().format == GroupNotice::CurrentFormat
        && notice.value().event <= GroupEvent::CoordinatorLeft;
    return isKnown ? std::optional(std::move(notice.value())) : std::nullopt;
}

} // namespace Cardamomhill

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
    auto notice = unpackMsgpackArray<LoadNotice>(bytes, FieldCount);
    const bool isKnown = notice.has_value() && notice.value().format == LoadNotice::CurrentFormat;
    return isKnown ? std::optional(std::move(notice.value())) : std::nullopt;
}

} // namespace Cardamomhill

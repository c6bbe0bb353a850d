#include "traffic/promptnotice.h"

#include "wire/msgpackcodec.h"

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 5;

} // namespace

std::string packPromptNotice(const PromptNotice &notice)
{
    return packMsgpack(notice);
}

std::optional<PromptNotice> unpackPromptNotice(std::string_view bytes)
{
    auto notice = unpackMsgpackArray<PromptNotice>(bytes, FieldCount);
    const bool isKnown = notice.has_value() && notice.value().format == PromptNotice::CurrentFormat;
    return isKnown ? std::optional(std::move(notice.value())) : std::nullopt;
}

} // namespace Cardamomhill

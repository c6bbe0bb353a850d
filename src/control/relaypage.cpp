#include "control/relaypage.h"

#include "wire/msgpackcodec.h"

#include <tuple>
#include <vector>

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 5;
constexpr std::uint32_t CurrentFormat = 2;

using PackedObject = std::tuple<std::string, std::uint64_t, std::string>;
using PackedPage
    = std::tuple<std::uint32_t, std::uint64_t, std::uint64_t, std::vector<PackedObject>, std::vector<std::string>>;

} // namespace

std::string packPage(const ObjectPage &page)
{
    std::vector<PackedObject> objects;
    objects.reserve(page.objects.size());
    for (const auto &object : page.objects) {
        objects.emplace_back(object.key.name, object.version, object.value);
    }
    return packMsgpack(
        PackedPage(CurrentFormat, page.revision.era, page.revision.number, std::move(objects), page.removed));
}

Result<ObjectPage, WireError> unpackPage(const std::string &kind, std::string_view bytes)
{
    auto packed = unpackMsgpackArray<PackedPage>(bytes, FieldCount);
    if (packed.has_error()) {
        return failure(packed.error());
    }
    auto &[format, era, number, objects, removed] = packed.value();
    if (format != CurrentFormat) {
        return failure(WireError{WireErrorCode::Malformed, 0});
    }
    ObjectPage page;
    page.revision = {era, number};
    page.removed = std::move(removed);
    for (auto &[name, version, value] : objects) {
        page.objects.push_back({{kind, std::move(name)}, version, std::move(value), era});
    }
    return page;
}

} // namespace Cardamomhill

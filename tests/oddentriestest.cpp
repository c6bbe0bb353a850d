#include "platform/objectapi.h"

#include <doctest/doctest.h>

#include <string>

using namespace Cardamomhill;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("a page with a deeply nested item is parsed or rejected without ending the process")
{
    const std::string page = R"({"store-revision":12,"items":[{"metadata":{"name":"odd","mod-revision":9},"spec":)"
        + nested(100'000) + "}]}";
    // Only that this returns.
    Platform::ObjectApi().parsePage("servers", page).has_value();
    Platform::ObjectApi().parseObject({"servers", "odd"}, page).has_value();
}

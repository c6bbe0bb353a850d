#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace Cardamomhill
{

/// One name and value of a log line.
struct LogField {
    LogField(std::string_view fieldName, std::string fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    {
    }

    LogField(std::string_view fieldName, std::string_view fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }

    LogField(std::string_view fieldName, const char *fieldValue)
        : name(fieldName)
        , value(fieldValue)
    {
    }

    template<class Number>
    requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::to_string(number))
    {
    }

    std::string_view name;
    std::string value;
};

} // namespace Cardamomhill

#pragma once

#include "core/nametable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cardamomhill
{

enum class SettingsErrorCode : std::uint8_t {
    InvalidValue,
    MalformedYaml,
    MissingKey,
    Unreadable,
    UnknownKey,
};

constexpr auto nameTable(SettingsErrorCode)
{
    return std::to_array<NamedValue<SettingsErrorCode>>({
        {SettingsErrorCode::InvalidValue, "invalid value"},
        {SettingsErrorCode::MalformedYaml, "malformed YAML"},
        {SettingsErrorCode::MissingKey, "missing key"},
        {SettingsErrorCode::Unreadable, "file cannot be read"},
        {SettingsErrorCode::UnknownKey, "unknown key"},
    });
}

/// One error in a settings file.
struct SettingsError {
    SettingsErrorCode code = SettingsErrorCode::Unreadable;
    std::string file;
    /// Counted from 1; 0 if the error has no line.
    int line = 0;
    std::string key;
    /// The accepted values, keys or form; empty if there is nothing to suggest.
    std::string accepted;

    std::string message() const
    {
        std::string text = file + (line > 0 ? ":" + std::to_string(line) : "") + ": ";
        text += (key.empty() ? "" : key + ": ") + std::string(nameOf(code));
        return accepted.empty() ? text : text + "; accepted: " + accepted;
    }
};

using SettingsErrors = std::vector<SettingsError>;

} // namespace Cardamomhill

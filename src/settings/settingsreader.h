#pragma once

#include "core/clocktypes.h"
#include "core/nametable.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"

#include <boost/asio/ip/tcp.hpp>
#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill::internal
{

/// Reads one settings file and collects all errors in it, so that they are reported together. Each function reads one
/// key and returns its default, or an empty value, if the key is missing or invalid.
class SettingsReader
{
public:
    explicit SettingsReader(const std::string &file);

    std::string text(const std::string &key);
    std::int64_t integer(const std::string &key, std::int64_t defaultValue, std::int64_t min, std::int64_t max);
    double decimal(const std::string &key, double defaultValue, double min, double max);
    /// Returns nothing if the key is missing.
    std::optional<double> optionalDecimal(const std::string &key, double min, double max);
    /// Reads a time in seconds, which may have a fraction.
    Milliseconds seconds(const std::string &key, Milliseconds defaultValue, double min, double max);
    /// Reads `drain_grace_ms`, a setting of all kinds of entry host.
    Milliseconds drainGrace(Milliseconds defaultValue);
    /// Reads `termination_grace_s`, a setting of all processes that drain.
    Milliseconds terminationGrace(Milliseconds defaultValue);
    /// Reads `memory_megabytes`, a setting of all kinds of entry host.
    std::uint32_t memoryMegabytes(std::uint32_t defaultValue);
    bool boolean(const std::string &key, bool defaultValue);
    /// Reads "address:port" with an IP address.
    boost::asio::ip::tcp::endpoint endpoint(const std::string &key);
    std::vector<boost::asio::ip::tcp::endpoint> endpoints(const std::string &key);
    LogLevel logLevel(const std::string &key);
    /// Reads the name of an enumerator with a name table.
    template<class Enum>
    Enum named(const std::string &key, Enum defaultValue)
    {
        const auto node = find(key, false, acceptedNames<Enum>());
        if (!node.IsDefined()) {
            return defaultValue;
        }
        const auto value = node.IsScalar() ? valueOf<Enum>(node.Scalar()) : std::nullopt;
        if (!value) {
            addError(SettingsErrorCode::InvalidValue, node.Mark().line + 1, key, acceptedNames<Enum>());
        }
        return value.value_or(defaultValue);
    }

    /// Returns `value`, or all errors if there were any. Keys that were never asked for are errors too.
    template<class T>
    Result<T, SettingsErrors> finish(T value)
    {
        reportUnknownKeys();
        if (!m_errors.empty()) {
            return failure(m_errors);
        }
        return value;
    }

private:
    template<class Number>
    Number number(const std::string &key, Number defaultValue, Number min, Number max, const std::string &accepted);
    YAML::Node find(const std::string &key, bool required, const std::string &accepted);
    void addError(SettingsErrorCode code, int line, const std::string &key, const std::string &accepted);
    void reportUnknownKeys();
    boost::asio::ip::tcp::endpoint parseEndpoint(const YAML::Node &node, const std::string &key);

    std::string m_file;
    YAML::Node m_root;
    std::set<std::string> m_knownKeys;
    SettingsErrors m_errors;
};

} // namespace Cardamomhill::internal

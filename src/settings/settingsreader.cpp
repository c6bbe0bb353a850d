#include "settings/settingsreader.h"

#include "core/parsenumber.h"

#include "net/address.h"

#include <fstream>
#include <optional>
#include <sstream>

namespace Cardamomhill::internal
{

using Endpoint = boost::asio::ip::tcp::endpoint;

namespace
{

constexpr std::string_view AcceptedEndpoint = "address:port with an IP address, IPv6 in brackets";

/// The content of a file; nothing if it cannot be read. yaml-cpp leaks memory when it reads a directory.
std::optional<std::string> contentOf(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string content;
    for (char character = 0; file.get(character);) {
        content += character;
    }
    return file.eof() ? std::optional(content) : std::nullopt;
}

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

} // namespace

SettingsReader::SettingsReader(const std::string &file)
    : m_file(file)
    , m_root(YAML::NodeType::Map)
{
    const auto content = contentOf(file);
    if (!content) {
        addError(SettingsErrorCode::Unreadable, 0, "", "");
    }
    // yaml-cpp reports invalid input by exceptions.
    try {
        m_root = content ? YAML::Load(*content) : m_root;
    } catch (const YAML::ParserException &error) {
        addError(SettingsErrorCode::MalformedYaml, error.mark.line + 1, "", "");
    }
    if (!m_root.IsMap()) {
        addError(SettingsErrorCode::MalformedYaml, 1, "", "a map of keys and values");
        m_root = YAML::Node(YAML::NodeType::Map);
    }
}

YAML::Node SettingsReader::find(const std::string &key, bool required, const std::string &accepted)
{
    m_knownKeys.insert(key);
    const YAML::Node node = std::as_const(m_root)[key];
    if (required && !node.IsDefined()) {
        addError(SettingsErrorCode::MissingKey, 0, key, accepted);
    }
    return node;
}

std::string SettingsReader::text(const std::string &key)
{
    const auto node = find(key, true, "a name");
    if (!node.IsDefined()) {
        return {};
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        addError(SettingsErrorCode::InvalidValue, lineOf(node), key, "a name");
        return {};
    }
    return node.Scalar();
}

template<class Number>
Number
SettingsReader::number(const std::string &key, Number defaultValue, Number min, Number max, const std::string &accepted)
{
    const auto node = find(key, false, accepted);
    if (!node.IsDefined()) {
        return defaultValue;
    }
    const auto number = node.IsScalar() ? parseNumber<Number>(node.Scalar()) : std::nullopt;
    if (!number || !(*number >= min && *number <= max)) {
        addError(SettingsErrorCode::InvalidValue, lineOf(node), key, accepted);
        return defaultValue;
    }
    return *number;
}

std::int64_t
SettingsReader::integer(const std::string &key, std::int64_t defaultValue, std::int64_t min, std::int64_t max)
{
    return number(key, defaultValue, min, max, std::to_string(min) + " to " + std::to_string(max));
}

double SettingsReader::decimal(const std::string &key, double defaultValue, double min, double max)
{
    std::ostringstream accepted;
    accepted << min << " to " << max;
    return number(key, defaultValue, min, max, accepted.str());
}

std::optional<double> SettingsReader::optionalDecimal(const std::string &key, double min, double max)
{
    const bool isPresent = find(key, false, "").IsDefined();
    const double value = decimal(key, min, min, max);
    return isPresent ? std::optional(value) : std::nullopt;
}

Milliseconds SettingsReader::drainGrace(Milliseconds defaultValue)
{
    constexpr std::int64_t MaxDrainGraceMs = 60'000;
    return Milliseconds(integer("drain_grace_ms", defaultValue.count(), 0, MaxDrainGraceMs));
}

Milliseconds SettingsReader::terminationGrace(Milliseconds defaultValue)
{
    constexpr double MinSeconds = 0.5;
    constexpr double MaxSeconds = 3600;
    return seconds("termination_grace_s", defaultValue, MinSeconds, MaxSeconds);
}

Milliseconds SettingsReader::seconds(const std::string &key, Milliseconds defaultValue, double min, double max)
{
    using DecimalSeconds = std::chrono::duration<double>;
    const auto defaultSeconds = DecimalSeconds(defaultValue).count();
    return std::chrono::round<Milliseconds>(DecimalSeconds(decimal(key, defaultSeconds, min, max)));
}

std::uint32_t SettingsReader::memoryMegabytes(std::uint32_t defaultValue)
{
    constexpr std::int64_t MinMemoryMegabytes = 32;
    constexpr std::int64_t MaxMemoryMegabytes = 16 * 1024 * 1024;
    return static_cast<std::uint32_t>(
        integer("memory_megabytes", defaultValue, MinMemoryMegabytes, MaxMemoryMegabytes));
}

bool SettingsReader::boolean(const std::string &key, bool defaultValue)
{
    const std::string accepted = "true or false";
    const auto node = find(key, false, accepted);
    if (!node.IsDefined()) {
        return defaultValue;
    }
    const auto value = node.IsScalar() ? node.Scalar() : std::string();
    if (value != "true" && value != "false") {
        addError(SettingsErrorCode::InvalidValue, lineOf(node), key, accepted);
        return defaultValue;
    }
    return value == "true";
}

Endpoint SettingsReader::endpoint(const std::string &key)
{
    const auto node = find(key, true, std::string(AcceptedEndpoint));
    return node.IsDefined() ? parseEndpoint(node, key) : Endpoint();
}

std::vector<Endpoint> SettingsReader::endpoints(const std::string &key)
{
    const auto node = find(key, false, "");
    std::vector<Endpoint> endpoints;
    if (!node.IsDefined()) {
        return endpoints;
    }
    if (!node.IsSequence()) {
        addError(SettingsErrorCode::InvalidValue, lineOf(node), key, "a list of " + std::string(AcceptedEndpoint));
        return endpoints;
    }
    for (const auto &element : node) {
        endpoints.push_back(parseEndpoint(element, key));
    }
    return endpoints;
}

Endpoint SettingsReader::parseEndpoint(const YAML::Node &node, const std::string &key)
{
    const auto endpoint = node.IsScalar() ? parseAddress(node.Scalar()) : std::nullopt;
    if (!endpoint) {
        addError(SettingsErrorCode::InvalidValue, lineOf(node), key, std::string(AcceptedEndpoint));
    }
    return endpoint.value_or(Endpoint());
}

LogLevel SettingsReader::logLevel(const std::string &key)
{
    return named(key, LogLevel::Info);
}

void SettingsReader::addError(SettingsErrorCode code, int line, const std::string &key, const std::string &accepted)
{
    m_errors.push_back({code, m_file, line, key, accepted});
}

void SettingsReader::reportUnknownKeys()
{
    std::string accepted;
    for (const auto &key : m_knownKeys) {
        accepted += (accepted.empty() ? "" : ", ") + key;
    }
    for (const auto &entry : m_root) {
        const auto key = entry.first.Scalar();
        if (m_knownKeys.count(key) == 0) {
            addError(SettingsErrorCode::UnknownKey, lineOf(entry.first), key, accepted);
        }
    }
}

} // namespace Cardamomhill::internal

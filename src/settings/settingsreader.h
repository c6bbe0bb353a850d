#pragma once

#include "core/clocktypes.h"
#include "core/result.h"
#include "logging/loglevel.h"
#include "settings/settingserror.h"

#include <boost/asio/ip/tcp.hpp>
#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Cardamomhill::internal
{

/// Reads one settings file and collects every mistake in it.
class SettingsReader
{
public:
    explicit SettingsReader(const std::string &file);

    std::string text(const std::string &key);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t low, std::int64_t high);
    double decimal(const std::string &key, double fallback, double low, double high);
    /// `drain_grace_ms`, which all entry hosts have.
    Milliseconds drainGrace(Milliseconds fallback);
    bool boolean(const std::string &key, bool fallback);
    /// "address:port" with an IP address.
    boost::asio::ip::tcp::endpoint endpoint(const std::string &key);
    std::vector<boost::asio::ip::tcp::endpoint> endpoints(const std::string &key);
    LogLevel logLevel(const std::string &key);

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
    Number number(const std::string &key, Number fallback, Number low, Number high, const std::string &accepted);
    YAML::Node find(const std::string &key, bool required, const std::string &accepted);
    void addError(SettingsErrorCode code, int line, const std::string &key, const std::string &accepted);
    void reportUnknownKeys();
    boost::asio::ip::tcp::endpoint parseEndpoint(const YAML::Node &node, const std::string &key);

    std::string m_file;
    YAML::Node m_root;
    std::set<std::string> m_known;
    SettingsErrors m_errors;
};

} // namespace Cardamomhill::internal

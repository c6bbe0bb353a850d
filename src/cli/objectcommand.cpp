#include "cli/objectcommand.h"

#include "cli/commandoptions.h"
#include "cli/operationid.h"
#include "cli/runtoend.h"
#include "config/configurationbuilder.h"
#include "control/objectwriter.h"
#include "control/platformclient.h"
#include "core/parsejson.h"
#include "net/address.h"
#include "net/steadynow.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

namespace Cardamomhill
{

using internal::CommandOptions;

namespace
{

/// Timeout of one write including its retries.
constexpr Seconds WriteTimeout{10};

std::string pluralOf(const std::string &kind)
{
    return kind + "s";
}

ExitStatus usageError(const std::string &text)
{
    std::cerr << text << "; see cardamomhill --help\n";
    return ExitStatus::UsageError;
}

ExitStatus runtimeError(const PlatformCallError &error)
{
    std::cerr << error.message() << '\n';
    return ExitStatus::RuntimeError;
}

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Sets a field of a JSON object from "field=value". Returns false if the assignment is malformed.
bool assign(nlohmann::json &value, const std::string &assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0) {
        return false;
    }
    const auto text = assignment.substr(equals + 1);
    auto parsed = parseJson(text);
    value[assignment.substr(0, equals)] = parsed.has_value() ? std::move(parsed.value()) : nlohmann::json(text);
    return true;
}

/// Returns the value from --file, or else the given one, with the fields of --set replaced. Prints an error and returns
/// nothing if an option is invalid.
std::optional<nlohmann::json> composeValue(const CommandOptions &options, nlohmann::json value)
{
    if (!options.valueFile.empty()) {
        const auto text = readFile(options.valueFile);
        auto parsed = parseJson(text.value_or(std::string()));
        if (parsed.has_error() || !parsed.value().is_object()) {
            std::cerr << options.valueFile << ": cannot be read or is not a JSON object\n";
            return std::nullopt;
        }
        value = std::move(parsed.value());
    }
    for (const auto &assignment : options.assignments) {
        if (!assign(value, assignment)) {
            std::cerr << assignment << ": does not have the form FIELD=VALUE\n";
            return std::nullopt;
        }
    }
    return value;
}

ExitStatus printErrors(const ConfigErrors &errors)
{
    for (const auto &error : errors) {
        std::cerr << error.message() << '\n';
    }
    return errors.empty() ? ExitStatus::Success : ExitStatus::SettingsError;
}

/// A command on configuration objects, with its connection to the platform.
class ObjectCommand
{
public:
    ObjectCommand(const CommandOptions &options, const tcp::endpoint &platform)
        : m_options(options)
        , m_client(m_context, platform)
        , m_key{pluralOf(options.words[0]), options.words.size() > 2 ? options.words[2] : std::string()}
    {
    }

    ExitStatus run()
    {
        return internal::runToEnd(m_context, dispatch());
    }

private:
    Task<ExitStatus> dispatch()
    {
        const auto &verb = m_options.words[1];
        if (verb == "list") {
            co_return co_await list();
        }
        if (verb == "create") {
            co_return co_await write(nlohmann::json::object(), std::nullopt);
        }
        const auto present = co_await m_client.read(m_key);
        if (present.has_error()) {
            co_return runtimeError(present.error());
        }
        const auto &base = present.value();
        if (verb == "retire") {
            co_return co_await put(R"({"retired":true})", base);
        }
        const auto object = toVersionedObject(base);
        if (object.has_error()) {
            std::cerr << object.error().message() << '\n';
            co_return ExitStatus::SettingsError;
        }
        auto value = nlohmann::json::object();
        if (!object.value().retired) {
            // Was parsed and encoded by toVersionedObject().
            value = parseJson(object.value().value).value();
        }
        co_return co_await write(std::move(value), base);
    }

    Task<ExitStatus> list()
    {
        const auto objects = co_await m_client.list(m_key.kind);
        if (objects.has_error()) {
            co_return runtimeError(objects.error());
        }
        for (const auto &object : objects.value().objects) {
            const auto converted = toVersionedObject(object);
            const bool isRetired = converted.has_value() && converted.value().retired;
            std::cout << object.key.name << " version " << object.version << ' '
                      << (isRetired ? "retired" : object.value) << '\n';
        }
        co_return ExitStatus::Success;
    }

    Task<ExitStatus> write(nlohmann::json present, std::optional<PlatformObject> base)
    {
        const auto value = composeValue(m_options, std::move(present));
        if (!value) {
            co_return ExitStatus::SettingsError;
        }
        const auto text = value->dump();
        const auto errors = validateObject(m_key.kind, m_key.name, text);
        if (!errors.empty()) {
            co_return printErrors(errors);
        }
        co_return co_await put(text, std::move(base));
    }

    Task<ExitStatus> put(std::string value, std::optional<PlatformObject> base)
    {
        ConditionalChange change{m_key, std::move(value), makeOperationId(m_random), std::move(base)};
        const auto written = co_await writeObject(m_client, std::move(change), steadyNow() + WriteTimeout, m_random);
        if (written.has_error()) {
            std::cerr << written.error().message() << '\n';
            co_return ExitStatus::SettingsError;
        }
        co_return report(written.value());
    }

    ExitStatus report(const WriteOutcome &outcome) const
    {
        const auto name = m_key.kind + '/' + m_key.name;
        const auto versionOf = [](const std::optional<PlatformObject> &object) { return object ? object->version : 0; };
        switch (outcome.code) {
        case WriteOutcomeCode::Applied:
            std::cout << name << " version " << outcome.version << '\n';
            return ExitStatus::Success;
        case WriteOutcomeCode::Conflict:
            std::cerr << name << ": changed by another writer: based on version " << versionOf(outcome.base)
                      << ", now at version " << versionOf(outcome.current) << '\n';
            return ExitStatus::RuntimeError;
        case WriteOutcomeCode::NotApplied:
            std::cerr << name << ": nothing was written, as the platform could not be reached\n";
            return ExitStatus::RuntimeError;
        case WriteOutcomeCode::Unknown:
            std::cerr << name << ": the write may or may not have taken effect; list it before you repeat it\n";
            return ExitStatus::RuntimeError;
        }
        return ExitStatus::RuntimeError;
    }

    const CommandOptions &m_options;
    asio::io_context m_context;
    PlatformClient m_client;
    ObjectKey m_key;
    Random m_random{std::random_device()()};
};

bool isValidCommand(const std::vector<std::string> &words)
{
    if (words.size() == 2) {
        return words[1] == "list";
    }
    return words.size() == 3 && (words[1] == "create" || words[1] == "change" || words[1] == "retire");
}

} // namespace

ExitStatus objectCommand(const CommandOptions &options)
{
    if (!isValidCommand(options.words)) {
        return usageError("expected create NAME, change NAME, retire NAME or list");
    }
    const auto platform = parseAddress(options.platform);
    if (!platform) {
        return usageError("--platform ADDRESS:PORT is missing or invalid");
    }
    return ObjectCommand(options, *platform).run();
}

ExitStatus checkObjectFile(const std::string &kind, const std::string &name, const std::string &file)
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << file << ": cannot be read\n";
        return ExitStatus::SettingsError;
    }
    return printErrors(validateObject(pluralOf(kind), name, *text));
}

} // namespace Cardamomhill

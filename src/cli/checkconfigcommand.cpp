#include "cli/checkconfigcommand.h"

#include "cli/commandoptions.h"
#include "cli/documentfile.h"
#include "cli/runtoend.h"
#include "configcheck/configcheck.h"
#include "control/platformclient.h"
#include "gateway/gatewaysettings.h"
#include "net/address.h"
#include "platform/documents.h"
#include "platform/store.h"

#include <iostream>
#include <optional>

namespace Cardamomhill
{

using internal::CommandOptions;

namespace
{

ProcessLimits limitsOf(const GatewaySettings &settings)
{
    ProcessLimits limits;
    limits.bodyBudgetBytes = settings.bodyBudgetBytes();
    limits.retries.ratio = settings.retryRatio;
    limits.retries.slack = settings.retrySlack;
    limits.retries.window = settings.retryWindow;
    return limits;
}

bool isValid(const CommandOptions &options)
{
    const bool readsInputTwice
        = options.words.back() == internal::StandardInput && options.againstFile == internal::StandardInput;
    const bool comparesTwice = !options.againstFile.empty() && !options.store.empty();
    return options.words.size() == 2 && !readsInputTwice && !comparesTwice
        && (options.store.empty() || parseAddress(options.store));
}

/// One run of the command. The functions that return nothing have printed an error.
class ConfigurationCheck
{
public:
    explicit ConfigurationCheck(const CommandOptions &options)
        : m_options(options)
    {
    }

    ExitStatus run()
    {
        // All inputs that are files are read first, so that an error leaves no other output.
        const auto document = readDocument(m_options.words[1]);
        if (!document || !readSettings()) {
            return ExitStatus::NotChecked;
        }
        std::optional<ConfigurationDocument> other;
        if (!m_options.againstFile.empty()) {
            other = readVersion();
            if (!other) {
                return ExitStatus::NotChecked;
            }
        }
        print(checkConfiguration(*document, m_codec, m_limits ? &*m_limits : nullptr));
        if (!m_options.store.empty()) {
            other = readStore();
        }
        if (other && document->isComplete()) {
            print(compareConfigurations(*other, *document, m_codec));
        }
        return status(other.has_value());
    }

private:
    ExitStatus status(bool hasOther) const
    {
        const bool isCompared = hasOther || m_options.store.empty();
        if (!isCompared || !std::cout.flush()) {
            return ExitStatus::NotChecked;
        }
        return m_hasFindings ? ExitStatus::Findings : ExitStatus::Success;
    }

    std::optional<ConfigurationDocument> readDocument(const std::string &path) const
    {
        const auto text = internal::readDocumentFile(path);
        if (text.has_error()) {
            std::cerr << path << ": " << nameOf(text.error()) << '\n';
            return std::nullopt;
        }
        return parse(path, text.value());
    }

    std::optional<ConfigurationDocument> parse(const std::string &source, const std::string &text) const
    {
        auto document = m_codec.parseDocument(text);
        if (document.has_error()) {
            std::cerr << source << ": " << document.error().message() << '\n';
            return std::nullopt;
        }
        return std::move(document.value());
    }

    bool readSettings()
    {
        if (m_options.settingsFile.empty()) {
            return true;
        }
        const auto settings = readGatewaySettings(m_options.settingsFile);
        if (settings.has_error()) {
            for (const auto &error : settings.error()) {
                std::cerr << error.message() << '\n';
            }
            return false;
        }
        m_limits = limitsOf(settings.value());
        return true;
    }

    /// The saved version to compare with.
    std::optional<ConfigurationDocument> readVersion() const
    {
        return usable(m_options.againstFile, readDocument(m_options.againstFile));
    }

    /// The version in force, by a single read call.
    std::optional<ConfigurationDocument> readStore() const
    {
        const Platform::Store store;
        asio::io_context context;
        PlatformClient client(context, *parseAddress(m_options.store), store.objectApi());
        const ObjectKey key{store.configurationKind(), store.configurationName()};
        std::optional<PlatformObject> object;
        internal::runToEnd(context, readObject(client, key, object));
        return object ? usable(m_options.store, parse(m_options.store, object->value)) : std::nullopt;
    }

    static Task<ExitStatus> readObject(PlatformClient &client, ObjectKey key, std::optional<PlatformObject> &object)
    {
        auto answer = co_await client.read(std::move(key));
        if (answer.has_error()) {
            std::cerr << answer.error().message() << '\n';
            co_return ExitStatus::NotChecked;
        }
        object = std::move(answer.value());
        co_return ExitStatus::Success;
    }

    /// A version that gateways reject is never in force, so there is nothing to compare with.
    static std::optional<ConfigurationDocument> usable(const std::string &source,
                                                       std::optional<ConfigurationDocument> document)
    {
        if (document && document->isRejected()) {
            std::cerr << source << ": rejected by gateways: " << textOf(document->problems().front()) << '\n';
            return std::nullopt;
        }
        return document;
    }

    void print(const Findings &findings)
    {
        m_hasFindings = m_hasFindings || !findings.empty();
        for (const auto &finding : findings) {
            std::cout << textOf(finding) << '\n';
        }
        std::cout.flush();
    }

    const CommandOptions &m_options;
    const Platform::Documents m_codec;
    std::optional<ProcessLimits> m_limits;
    bool m_hasFindings = false;
};

} // namespace

ExitStatus checkConfigCommand(const CommandOptions &options)
{
    if (!isValid(options)) {
        std::cerr
            << "usage: cardamomhill check-config FILE [--settings FILE] [--against FILE | --store ADDRESS:PORT]\n";
        return ExitStatus::NotChecked;
    }
    return ConfigurationCheck(options).run();
}

} // namespace Cardamomhill

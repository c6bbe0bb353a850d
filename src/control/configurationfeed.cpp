#include "control/configurationfeed.h"

#include "logging/logging.h"
#include "net/spawn.h"

namespace Cardamomhill
{

namespace
{

constexpr Milliseconds WatchTimeout{30'000};
constexpr Milliseconds RetryDelay{500};

} // namespace

ConfigurationFeed::ConfigurationFeed(asio::io_context &context, const tcp::endpoint &platform, Subscriber subscriber)
    : m_context(context)
    , m_client(context, platform)
    , m_subscriber(std::move(subscriber))
{
}

void ConfigurationFeed::start()
{
    spawn(m_context.get_executor(), "configuration-feed", follow());
}

bool ConfigurationFeed::isReady() const
{
    return m_isReady;
}

Task<> ConfigurationFeed::follow()
{
    asio::steady_timer timer(m_context);
    bool isListed = false;
    while (true) {
        if (isListed) {
            isListed = co_await watchOnce();
        } else {
            isListed = co_await listAll();
        }
        if (!isListed) {
            SystemError ignored;
            timer.expires_after(RetryDelay);
            co_await timer.async_wait(storeError(ignored));
        }
    }
}

Task<bool> ConfigurationFeed::listAll()
{
    const auto objects = co_await m_client.list("");
    if (objects.has_error()) {
        logEvent(LogLevel::Warning, "platform-list-failed", {{"error", objects.error().message()}});
        co_return false;
    }
    m_isReady = true;
    apply(objects.value());
    co_return true;
}

Task<bool> ConfigurationFeed::watchOnce()
{
    const auto changes = co_await m_client.watch(m_revision, WatchTimeout);
    if (changes.has_error()) {
        logEvent(LogLevel::Warning, "platform-watch-failed", {{"error", changes.error().message()}});
        co_return false;
    }
    if (!changes.value().objects.empty()) {
        apply(changes.value());
    }
    co_return true;
}

void ConfigurationFeed::apply(const PlatformClient::Objects &objects)
{
    m_revision = std::max(m_revision, objects.revision);
    for (const auto &object : objects.objects) {
        for (const auto &error : m_builder.apply(object)) {
            logEvent(LogLevel::Error,
                     "configuration-object-refused",
                     {{"version", object.version}, {"error", error.message()}});
        }
    }
    const auto configuration = m_builder.snapshot();
    logEvent(LogLevel::Info,
             "configuration-in-force",
             {{"version", configuration->version()}, {"changed", objects.objects.size()}});
    m_subscriber(configuration);
}

} // namespace Cardamomhill

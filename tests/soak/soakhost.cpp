#include "soak/soakhost.h"

#include "control/controladdress.h"
#include "soak/freeendpoint.h"

#include <fstream>
#include <stdexcept>

namespace Cardamomhill
{

SoakHost::SoakHost(asio::io_context &context,
                   std::string name,
                   const tcp::endpoint &store,
                   std::string program,
                   const std::string &directory,
                   std::string drainSettings)
    : m_name(std::move(name))
    , m_program(std::move(program))
    , m_settingsFile(directory + "/" + m_name + ".yaml")
    , m_logFile(directory + "/" + m_name + ".log")
    , m_drainSettings(std::move(drainSettings))
    , m_listen(freeEndpoint(context))
    , m_operatorListen(freeEndpoint(context))
    , m_peerListen(freeEndpoint(context))
    , m_storeLink(context, store)
{
    const auto started = m_storeLink.start();
    if (started.has_error()) {
        throw std::runtime_error(started.error().message());
    }
}

void SoakHost::setFailureDomain(std::string failureDomain)
{
    m_failureDomain = std::move(failureDomain);
}

void SoakHost::start()
{
    std::ofstream settings(m_settingsFile);
    settings << "host: " << m_name << "\nfailure_domain: " << m_failureDomain
             << "\nlisten: " << controlAddress(m_listen).value()
             << "\noperator_listen: " << controlAddress(m_operatorListen).value()
             << "\npeer_listen: " << controlAddress(m_peerListen).value()
             << "\nplatform: " << controlAddress(m_storeLink.endpoint()).value() << '\n'
             << m_drainSettings;
    settings.close();
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string>{m_program, "gateway", "--settings", m_settingsFile}, m_logFile);
}

void SoakHost::signal(int signalNumber)
{
    if (m_process) {
        m_process->signal(signalNumber);
    }
}

bool SoakHost::hasEnded()
{
    return !m_process || m_process->hasEnded();
}

const std::string &SoakHost::name() const
{
    return m_name;
}

const tcp::endpoint &SoakHost::listen() const
{
    return m_listen;
}

const tcp::endpoint &SoakHost::operatorListen() const
{
    return m_operatorListen;
}

FaultProxy &SoakHost::storeLink()
{
    return m_storeLink;
}

StabilityTracker &SoakHost::stability()
{
    return m_stability;
}

} // namespace Cardamomhill

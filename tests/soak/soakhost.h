#pragma once

#include "soak/childprocess.h"
#include "soak/faultproxy.h"
#include "soak/stabilitytracker.h"

#include <memory>
#include <string>

namespace Cardamomhill
{

/// An entry host of the soak: a gateway process and the proxy between it and the store.
class SoakHost
{
public:
    /// @param drainSettings lines of the settings file
    SoakHost(asio::io_context &context,
             std::string name,
             const tcp::endpoint &store,
             std::string program,
             const std::string &directory,
             std::string drainSettings = "drain_grace_ms: 300\n");

    /// Sets the failure domain of the next process.
    void setFailureDomain(std::string failureDomain);
    /// Writes the settings and starts the process.
    void start();
    void signal(int signalNumber);
    bool hasEnded();

    const std::string &name() const;
    const tcp::endpoint &listen() const;
    const tcp::endpoint &operatorListen() const;
    FaultProxy &storeLink();
    StabilityTracker &stability();

private:
    std::string m_name;
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    std::string m_drainSettings;
    std::string m_failureDomain = "d1";
    tcp::endpoint m_listen;
    tcp::endpoint m_operatorListen;
    tcp::endpoint m_peerListen;
    FaultProxy m_storeLink;
    StabilityTracker m_stability;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace Cardamomhill

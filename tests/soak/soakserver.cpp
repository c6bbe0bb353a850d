#include "soak/soakserver.h"

#include "control/controladdress.h"
#include "net/steadynow.h"

#include <algorithm>
#include <stdexcept>

namespace Cardamomhill
{

namespace
{

Milliseconds remainingTime(SteadyTime until)
{
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(until - steadyNow()));
}

} // namespace

SoakServer::SoakServer(asio::io_context &context, std::string name, std::string failureDomain, RunObserver onRun)
    : m_context(context)
    , m_name(std::move(name))
    , m_failureDomain(std::move(failureDomain))
    , m_onRun(std::move(onRun))
    , m_link(context, {})
{
    const auto started = m_link.start();
    if (started.has_error()) {
        throw std::runtime_error(started.error().message());
    }
    startInstance();
}

void SoakServer::startInstance()
{
    stopInstance();
    m_coldUntil = SteadyTime();
    const auto id = m_name + "-" + std::to_string(m_instances.size() + 1);
    m_instances.push_back(std::make_unique<DirectBackend>(
        m_context, id, [this, id](const HttpRequest &request) { m_onRun(id, request); }));
    const auto listening = m_instances.back()->listen({asio::ip::address_v4::loopback(), 0});
    if (listening.has_error()) {
        throw std::runtime_error(listening.error().message());
    }
    m_link.setTarget(m_instances.back()->endpoint());
}

void SoakServer::stopInstance()
{
    if (!m_instances.empty()) {
        m_instances.back()->stop();
    }
}

ServerEntry SoakServer::entry() const
{
    const auto number = m_instances.size();
    return {m_name + "-" + std::to_string(number),
            controlAddress(m_link.endpoint()).value(),
            number,
            false,
            m_failureDomain,
            remainingTime(m_coldUntil)};
}

void SoakServer::setColdUntil(SteadyTime until)
{
    m_coldUntil = until;
    m_instances.back()->setColdUntil(until);
}

StabilityTracker &SoakServer::linkStability()
{
    return m_linkStability;
}

FaultProxy &SoakServer::link()
{
    return m_link;
}

} // namespace Cardamomhill

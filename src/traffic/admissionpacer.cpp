#include "traffic/admissionpacer.h"

#include <algorithm>

namespace Cardamomhill
{

AdmissionPacer::AdmissionPacer(AdmissionPacerOptions options)
    : m_options(options)
{
}

bool AdmissionPacer::tryAdmit(double room, std::size_t engines, std::size_t hosts, SteadyTime now)
{
    const auto elapsed = std::chrono::duration<double>(now - m_updatedAt);
    const auto delay = std::chrono::duration<double>(m_options.noticeDelay);
    const double share = std::max(room, 0.0) / static_cast<double>(std::max<std::size_t>(hosts, 1));
    m_tokens = std::min(m_options.maxBurst, m_tokens + share * (elapsed / delay));
    m_updatedAt = now;
    // With room for one call at each engine, what the others send meanwhile fits as well.
    if (room >= static_cast<double>(engines)) {
        m_tokens = std::max(m_tokens - 1, 0.0);
        return true;
    }
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Cardamomhill

#include "routing/attemptlog.h"

#include <algorithm>

namespace Cardamomhill
{

std::size_t AttemptLog::start()
{
    m_attempts.push_back(RequestOutcome::Unknown);
    m_ended.push_back(false);
    return m_attempts.size() - 1;
}

void AttemptLog::end(std::size_t attempt, RequestOutcome outcome)
{
    RequestOutcome &recorded = m_attempts.at(attempt);
    const bool isLateAnswer = recorded == RequestOutcome::Unknown && outcome == RequestOutcome::Completed;
    if (!m_ended[attempt] || isLateAnswer) {
        recorded = outcome;
        m_ended[attempt] = true;
    }
}

RequestOutcome AttemptLog::outcome() const
{
    // In order of precedence: no outcome may claim more about the request than all of its attempts prove.
    for (const RequestOutcome outcome :
         {RequestOutcome::Completed, RequestOutcome::Unknown, RequestOutcome::Rejected, RequestOutcome::NotRun}) {
        if (std::find(m_attempts.begin(), m_attempts.end(), outcome) != m_attempts.end()) {
            return outcome;
        }
    }
    return RequestOutcome::NotSent;
}

std::size_t AttemptLog::count() const
{
    return m_attempts.size();
}

} // namespace Cardamomhill

#include "traffic/serverstatements.h"

#include <algorithm>

namespace Cardamomhill
{

namespace
{

/// A leaving server ends long before that, and no copy of its registration is that old.
constexpr Seconds StatementLifetime{24 * 3600};

/// Limits the harm of a wrong value.
constexpr Seconds MaxHold{60};

} // namespace

bool ServerStatements::recordLeaving(const ServerProcess &process, SteadyTime now)
{
    auto *const statement = statementOf(process, now);
    if (statement == nullptr || statement->isLeaving) {
        return false;
    }
    statement->isLeaving = true;
    return true;
}

bool ServerStatements::isLeaving(const ServerProcess &process) const
{
    const auto *statement = statementAbout(process);
    return statement != nullptr && statement->isLeaving;
}

bool ServerStatements::recordHold(const ServerProcess &process, Microseconds time, SteadyTime now)
{
    auto *const statement = statementOf(process, now);
    if (statement == nullptr || time <= Microseconds(0)) {
        return false;
    }
    const bool wasHeld = statement->heldUntil > now;
    statement->heldUntil = std::max(statement->heldUntil, now + std::min<Microseconds>(time, MaxHold));
    return !wasHeld;
}

SteadyTime ServerStatements::heldUntil(const ServerProcess &process) const
{
    const auto *statement = statementAbout(process);
    return statement == nullptr ? SteadyTime() : statement->heldUntil;
}

ServerStatements::Statement *ServerStatements::statementOf(const ServerProcess &process, SteadyTime now)
{
    discardOld(now);
    auto &statement = m_statements[process.id];
    if (statement.process.id.isEmpty() || statement.process.isSucceededBy(process)) {
        statement = {process, false, {}, now};
    } else if (statement.process != process) {
        return nullptr;
    }
    statement.updatedAt = now;
    return &statement;
}

const ServerStatements::Statement *ServerStatements::statementAbout(const ServerProcess &process) const
{
    const auto found = m_statements.find(process.id);
    const bool applies = found != m_statements.end() && !found->second.process.isSucceededBy(process);
    return applies ? &found->second : nullptr;
}

void ServerStatements::discardOld(SteadyTime now)
{
    std::erase_if(m_statements, [now](const auto &entry) { return now - entry.second.updatedAt > StatementLifetime; });
}

} // namespace Cardamomhill

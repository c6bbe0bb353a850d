#pragma once

#include "core/clocktypes.h"
#include "core/identifiers.h"
#include "traffic/serverprocess.h"

#include <unordered_map>

namespace Cardamomhill
{

/// What the processes of backend servers have stated about themselves in answers. It holds for the rest of a process,
/// whatever its registration says and also while it has none.
class ServerStatements
{
public:
    /// Records that a process is leaving. Returns false if that was known or a later process has the id.
    bool recordLeaving(const ServerProcess &process, SteadyTime now);

    bool isLeaving(const ServerProcess &process) const;

    /// Records that a process wants no calls for so long; a longer time than that of an earlier statement extends it.
    /// Returns whether it takes calls no more only from now on.
    bool recordHold(const ServerProcess &process, Microseconds time, SteadyTime now);

    /// Until when a process wants no calls; a time in the past if it has stated nothing.
    SteadyTime heldUntil(const ServerProcess &process) const;

private:
    struct Statement {
        ServerProcess process;
        bool isLeaving = false;
        SteadyTime heldUntil{};
        SteadyTime updatedAt{};
    };

    /// The statement of a process; nullptr if a later process with its id has made one.
    Statement *statementOf(const ServerProcess &process, SteadyTime now);
    /// The statement that applies to a process; nullptr if there is none.
    const Statement *statementAbout(const ServerProcess &process) const;
    void discardOld(SteadyTime now);

    std::unordered_map<BackendServerId, Statement> m_statements;
};

} // namespace Cardamomhill

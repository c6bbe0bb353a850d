#pragma once

#include "core/nametable.h"

namespace Cardamomhill
{

/// The faults that the soak injects into host processes, network links, the store and backend servers.
enum class FaultKind {
    PauseHost,
    KillHost,
    TerminateHost,
    ReloadHost,
    DelayStoreLink,
    SilenceStoreLink,
    SilenceStoreAnswers,
    RefuseStoreLink,
    ResetStoreLink,
    StopStore,
    LoseStoreWrites,
    DropStoreHistory,
    DelayServer,
    SilenceServer,
    SilenceServerAnswers,
    RefuseServer,
    ResetServer,
    ReplaceServer,
    DrainServer,
    ChangeConfiguration,
};

constexpr auto nameTable(FaultKind)
{
    return std::to_array<NamedValue<FaultKind>>({
        {FaultKind::PauseHost, "pause-host"},
        {FaultKind::KillHost, "kill-host"},
        {FaultKind::TerminateHost, "terminate-host"},
        {FaultKind::ReloadHost, "reload-host"},
        {FaultKind::DelayStoreLink, "delay-store-link"},
        {FaultKind::SilenceStoreLink, "silence-store-link"},
        {FaultKind::SilenceStoreAnswers, "silence-store-answers"},
        {FaultKind::RefuseStoreLink, "refuse-store-link"},
        {FaultKind::ResetStoreLink, "reset-store-link"},
        {FaultKind::StopStore, "stop-store"},
        {FaultKind::LoseStoreWrites, "lose-store-writes"},
        {FaultKind::DropStoreHistory, "drop-store-history"},
        {FaultKind::DelayServer, "delay-server"},
        {FaultKind::SilenceServer, "silence-server"},
        {FaultKind::SilenceServerAnswers, "silence-server-answers"},
        {FaultKind::RefuseServer, "refuse-server"},
        {FaultKind::ResetServer, "reset-server"},
        {FaultKind::ReplaceServer, "replace-server"},
        {FaultKind::DrainServer, "drain-server"},
        {FaultKind::ChangeConfiguration, "change-configuration"},
    });
}

} // namespace Cardamomhill

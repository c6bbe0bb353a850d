#pragma once

namespace Cardamomhill
{

/// The interval between the last two reports of a rank.
struct RankWindow {
    /// Whether the window was reported since the last update of the estimate.
    bool fresh = false;
    double busyMicrosecondsPerStep = 0;
};

} // namespace Cardamomhill

#pragma once

namespace Cardamomhill
{

/// What a rank did between its last two reports.
struct RankWindow {
    /// True when the window was reported since the last fold.
    bool fresh = false;
    double busyMicrosecondsPerStep = 0;
};

} // namespace Cardamomhill

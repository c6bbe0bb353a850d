#pragma once

namespace Cardamomhill
{

/// Whether a host that may coordinate a group shares a failure domain with one of its ranks. A network partition may
/// separate a remote host from a group that keeps running; a local host is mostly cut off together with the group.
enum class Locality {
    Local,
    Remote,
};

} // namespace Cardamomhill

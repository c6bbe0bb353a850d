#pragma once

namespace Cardamomhill
{

/// Whether a host that may coordinate a group shares a failure domain with one of its ranks. A cut that separates a
/// remote host from the group may leave the group running; a local host is mostly cut off together with it.
enum class Locality {
    Local,
    Remote,
};

} // namespace Cardamomhill

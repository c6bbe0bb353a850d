#pragma once

namespace Cardamomhill
{

class GatewayThread;
struct EvacuatedDomains;

/// Logs and counts which failure domains are evacuated now and were not before, and the reverse.
void recordEvacuations(GatewayThread &thread, const EvacuatedDomains &before);

} // namespace Cardamomhill

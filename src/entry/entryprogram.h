#pragma once

#include "core/result.h"
#include "net/neterror.h"

namespace Cardamomhill
{

struct EntrySettings;

/// Runs an entry process until its graceful shutdown has ended.
Result<void, NetError> runEntry(const EntrySettings &settings);

} // namespace Cardamomhill

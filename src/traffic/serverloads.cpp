#include "traffic/serverloads.h"

#include <xxhash.h>

namespace Cardamomhill
{

ServerKey serverKey(const BackendServerId &id)
{
    return XXH32(id.value().data(), id.value().size(), 0);
}

} // namespace Cardamomhill

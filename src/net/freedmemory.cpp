#include "net/freedmemory.h"

#include <malloc.h>

namespace Cardamomhill
{

namespace
{

/// The allocator's own first value. Buffers of common requests and answers are smaller and don't pay for a mapping.
constexpr int MappedBufferBytes = 128 * 1024;

} // namespace

void mapLargeBuffers()
{
    mallopt(M_MMAP_THRESHOLD, MappedBufferBytes);
}

void returnFreedMemory()
{
    malloc_trim(0);
}

} // namespace Cardamomhill

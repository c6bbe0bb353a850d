#pragma once

namespace Cardamomhill
{

/// Has large buffers mapped one by one, so that their memory goes back to the operating system when they are freed. By
/// default the allocator stops doing so after the first large one and keeps up to 64 MB for later ones.
void mapLargeBuffers();

/// Gives freed memory back to the operating system. Takes some milliseconds of processor time if there is much.
void returnFreedMemory();

} // namespace Cardamomhill

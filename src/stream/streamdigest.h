#pragma once

#include "stream/framekind.h"

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace Cardamomhill::internal
{

/// An incremental XXH3 digest over the frames of an answer. It includes the kind and length of each frame, so that it
/// also differs if bytes have moved from one frame to the next.
class StreamDigest
{
public:
    StreamDigest();

    void update(FrameKind kind, std::string_view payload);
    std::uint64_t value() const;

private:
    struct StateDeleter {
        void operator()(XXH3_state_s *state) const;
    };

    std::unique_ptr<XXH3_state_s, StateDeleter> m_state;
};

} // namespace Cardamomhill::internal

#pragma once

#include "traffic/blockedpart.h"
#include "traffic/crashreport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace Cardamomhill
{

/// A message of an entry host to the others about prompts that crash backend servers. A format of its own, which hosts
/// that know only the other notices ignore.
struct PromptNotice {
    static constexpr std::uint8_t CurrentFormat = 1;

    std::uint8_t format = CurrentFormat;
    std::string host;
    std::vector<CrashReport> crashes;
    /// Suspected or blocked parts under which an answer went on.
    std::vector<std::string> sound;
    std::vector<BlockedPart> blocked;

    bool isEmpty() const
    {
        return crashes.empty() && sound.empty() && blocked.empty();
    }

    MSGPACK_DEFINE_ARRAY(format, host, crashes, sound, blocked)
};

std::string packPromptNotice(const PromptNotice &notice);

/// Returns nothing if the bytes are not a valid notice of the current format.
std::optional<PromptNotice> unpackPromptNotice(std::string_view bytes);

} // namespace Cardamomhill

#include "stream/streamerror.h"

namespace Cardamomhill
{

std::string StreamError::message() const
{
    std::string text = "stream of attempt " + std::to_string(attempt) + " at frame " + std::to_string(sequence) + ": "
        + std::string(nameOf(code));
    if (!reason.empty()) {
        text += ": " + reason;
    }
    return text;
}

} // namespace Cardamomhill

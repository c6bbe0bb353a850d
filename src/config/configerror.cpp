#include "config/configerror.h"

namespace Cardamomhill
{

std::string ConfigError::message() const
{
    std::string text = object + ": ";
    if (!field.empty()) {
        text += field + ": ";
    }
    text += nameOf(code);
    if (!accepted.empty()) {
        text += "; accepted: " + accepted;
    }
    return text;
}

} // namespace Cardamomhill

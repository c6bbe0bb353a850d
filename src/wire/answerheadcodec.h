#pragma once

#include "core/result.h"
#include "wire/answerhead.h"
#include "wire/wireerror.h"

#include <string>
#include <string_view>

namespace Cardamomhill
{

/// The payload of a Head frame.
std::string encodeHead(const AnswerHead &head);

Result<AnswerHead, WireError> decodeHead(std::string_view payload);

} // namespace Cardamomhill

#pragma once

#include "net/messagereader.h"

#include <string>

namespace Cardamomhill
{

/// A whole HTTP answer.
struct HttpResponse {
    AnswerReader::Head head;
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

} // namespace Cardamomhill

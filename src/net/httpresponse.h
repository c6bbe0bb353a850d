#pragma once

#include <string>

namespace Cardamomhill
{

/// A whole HTTP answer.
struct HttpResponse {
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

} // namespace Cardamomhill

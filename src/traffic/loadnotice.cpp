#include "traffic/loadnotice.h"

namespace Cardamomhill
{

std::string packNotice(const LoadNotice &notice)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, notice);
    return {buffer.data(), buffer.size()};
}

std::optional<LoadNotice> unpackNotice(std::string_view bytes)
{
    // msgpack reports bad input by exceptions.
    try {
        auto notice = msgpack::unpack(bytes.data(), bytes.size()).get().as<LoadNotice>();
        return notice.format == LoadNotice::CurrentFormat ? std::optional(std::move(notice)) : std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace Cardamomhill

#include "traffic/loadnotice.h"

#include "core/msgpackinput.h"

namespace Cardamomhill
{

namespace
{

constexpr std::uint32_t FieldCount = 7;

} // namespace

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
        const auto handle = unpackObject(bytes);
        // A shorter array would leave fields as they are.
        if (handle->type != msgpack::type::ARRAY || handle->via.array.size != FieldCount) {
            return std::nullopt;
        }
        auto notice = handle->as<LoadNotice>();
        return notice.format == LoadNotice::CurrentFormat ? std::optional(std::move(notice)) : std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace Cardamomhill

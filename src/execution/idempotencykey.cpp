#include "execution/idempotencykey.h"

#include "core/hash.h"

#include <cstdint>
#include <stdexcept>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace Cardamomhill
{

namespace
{

constexpr std::size_t textLength = 36;
constexpr std::size_t versionByte = 6;
constexpr std::size_t variantByte = 8;
constexpr std::size_t timeBytes = 6;
constexpr std::int64_t timeLimitMs = std::int64_t{1} << 48;
// If only one slot is allowed, the probability that this many draws all miss it is (255/256)^16384, about 1e-28.
constexpr int maximumDraws = 16'384;

std::string_view bytesOf(const boost::uuids::uuid &uuid)
{
    return {reinterpret_cast<const char *>(uuid.data), sizeof(uuid.data)};
}

bool isVersion7(const boost::uuids::uuid &uuid)
{
    return (uuid.data[versionByte] & 0xf0U) == 0x70U && (uuid.data[variantByte] & 0xc0U) == 0x80U;
}

void writeTime(boost::uuids::uuid &uuid, std::int64_t milliseconds)
{
    for (std::size_t byte = 0; byte < timeBytes; ++byte) {
        uuid.data[byte] = static_cast<std::uint8_t>(milliseconds >> (8 * (timeBytes - 1 - byte)));
    }
}

void writeRandomBits(boost::uuids::uuid &uuid, Random &random)
{
    std::uint64_t bits = 0;
    for (std::size_t byte = timeBytes; byte < sizeof(uuid.data); ++byte) {
        if ((byte - timeBytes) % sizeof(bits) == 0) {
            bits = random();
        }
        uuid.data[byte] = static_cast<std::uint8_t>(bits);
        bits >>= 8U;
    }
    uuid.data[versionByte] = static_cast<std::uint8_t>((uuid.data[versionByte] & 0x0fU) | 0x70U);
    uuid.data[variantByte] = static_cast<std::uint8_t>((uuid.data[variantByte] & 0x3fU) | 0x80U);
}

} // namespace

IdempotencyKey::IdempotencyKey(const boost::uuids::uuid &uuid)
    : m_uuid(uuid)
{
}

Result<IdempotencyKey, KeyError> IdempotencyKey::parse(std::string_view text)
{
    // Boost's string_generator also accepts braces and a form without hyphens; neither has this length.
    if (text.size() != textLength) {
        return failure(KeyError{KeyErrorCode::NotUuid});
    }
    try {
        const boost::uuids::uuid uuid = boost::uuids::string_generator()(text.begin(), text.end());
        if (!isVersion7(uuid)) {
            return failure(KeyError{KeyErrorCode::NotVersion7});
        }
        return IdempotencyKey(uuid);
    } catch (const std::runtime_error &) {
        return failure(KeyError{KeyErrorCode::NotUuid});
    }
}

Result<IdempotencyKey, KeyError>
IdempotencyKey::generate(const OrganisationId &organisation, const SlotSet &slots, WallTime now, Random &random)
{
    const std::int64_t milliseconds = now.time_since_epoch().count();
    if (milliseconds < 0 || milliseconds >= timeLimitMs) {
        return failure(KeyError{KeyErrorCode::TimeOutOfRange});
    }
    boost::uuids::uuid uuid{};
    writeTime(uuid, milliseconds);
    for (int draw = 0; slots.any() && draw < maximumDraws; ++draw) {
        writeRandomBits(uuid, random);
        const IdempotencyKey key(uuid);
        if (slots.test(key.slot(organisation))) {
            return key;
        }
    }
    return failure(KeyError{KeyErrorCode::NoSlot});
}

std::string IdempotencyKey::toString() const
{
    return boost::uuids::to_string(m_uuid);
}

WallTime IdempotencyKey::time() const
{
    std::int64_t milliseconds = 0;
    for (std::size_t byte = 0; byte < timeBytes; ++byte) {
        milliseconds = (milliseconds << 8) | m_uuid.data[byte];
    }
    return WallTime(Milliseconds(milliseconds));
}

SlotNumber IdempotencyKey::slot(const OrganisationId &organisation) const
{
    return static_cast<SlotNumber>(hash64(bytesOf(m_uuid), hash64(organisation.value())) % slotCount);
}

std::size_t IdempotencyKey::hash() const
{
    return hash64(bytesOf(m_uuid));
}

} // namespace Cardamomhill

#include "net/bodymemory.h"

#include "net/httplimits.h"
#include "net/steadynow.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <limits>

namespace Cardamomhill
{

namespace
{

/// Most requests have less than 3 KB.
constexpr std::size_t SmallBodyBytes = 16 * 1024;
/// A quarter of the total is kept for small bodies.
constexpr std::size_t ReserveDivisor = 4;
/// A caller that is able to send makes this progress in this time on a link of 0.3 Mbit/s.
constexpr Milliseconds IdleTime{500};
constexpr std::size_t ProgressBytes = 16 * 1024;
/// The grant of a body without a stated length begins with this, doubles while the body is small and then grows in
/// large steps.
constexpr std::size_t FirstStepBytes = 4 * 1024;
constexpr std::size_t LargeStepBytes = 64 * 1024;
/// The buffer of such a body has this many times its grant once it is large. That needs no more memory, since the pages
/// of a large buffer take none before they are written, and saves copies.
constexpr std::size_t BufferGrowth = 4;
/// A field takes about 80 bytes once it is parsed, and as much in the request for a server. The shortest is "a:" with
/// the end of its line. Heads with a usual number of fields are not counted.
constexpr std::size_t FieldMemoryBytes = 160;
constexpr std::size_t ShortestFieldBytes = 4;
constexpr std::size_t UsualFieldCount = 64;
/// More can't be counted, and no body comes near it.
constexpr std::uint64_t MaxCountedBodyBytes = std::numeric_limits<std::size_t>::max() / (2 * ReserveDivisor);

/// Frees the buffer too, which an assignment of an empty string keeps.
void freeBytes(RequestBody &body)
{
    std::string().swap(body.bytes);
}

std::uint64_t countedBodyBytes(const HttpLimits &limits)
{
    return std::min(limits.maxBodyBytes, MaxCountedBodyBytes);
}

BodyBudgetLimits budgetLimits(const HttpLimits &http)
{
    const std::size_t largestHead = http.maxHeaderBytes / ShortestFieldBytes * FieldMemoryBytes;
    const auto largestBody = static_cast<std::size_t>(countedBodyBytes(http)) + LargeStepBytes + largestHead;
    BodyBudgetLimits limits;
    limits.totalBytes
        = std::max(http.maxTotalBodyBytes, largestBody / (ReserveDivisor - 1) * ReserveDivisor + ReserveDivisor);
    limits.smallReserveBytes = limits.totalBytes / ReserveDivisor;
    limits.smallBodyBytes = SmallBodyBytes;
    limits.idleTime = IdleTime;
    limits.progressBytes = ProgressBytes;
    return limits;
}

} // namespace

BodyMemory::BodyMemory(const HttpLimits &limits)
    : m_maxBodyBytes(countedBodyBytes(limits))
    , m_budget(budgetLimits(limits))
{
}

void BodyMemory::setLimits(const HttpLimits &limits)
{
    m_maxBodyBytes = countedBodyBytes(limits);
    m_budget.setLimits(budgetLimits(limits));
}

std::size_t BodyMemory::headBytes(const HttpRequest::header_type &head)
{
    const auto count = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
    return count > UsualFieldCount ? count * FieldMemoryBytes : 0;
}

bool BodyMemory::makeRoom(RequestBody &body, std::size_t bytes, std::optional<std::uint64_t> statedLength)
{
    if (body.isDropped) {
        return false;
    }
    if (body.id && std::min<std::uint64_t>(bytes, statedLength.value_or(bytes)) <= body.grantedBytes) {
        return true;
    }
    const auto now = steadyNow();
    if (!body.id) {
        body.id = m_budget.open(now);
        m_bodies.emplace(*body.id, &body);
    }
    const auto wanted = grantFor(bytes, statedLength);
    const auto grant = m_budget.take(*body.id, wanted + body.headBytes, now);
    for (const auto dropped : grant.dropped) {
        drop(dropped);
    }
    if (!grant.isGranted) {
        ++m_refusedCount;
        return false;
    }
    body.grantedBytes = wanted;
    if (body.bytes.capacity() < wanted) {
        const bool growsInSteps = !statedLength && wanted > SmallBodyBytes;
        const auto largest = std::max<std::uint64_t>(wanted, m_maxBodyBytes);
        body.bytes.reserve(growsInSteps ? std::min<std::uint64_t>(wanted * BufferGrowth, largest) : wanted);
    }
    return true;
}

std::size_t BodyMemory::grantFor(std::size_t bytes, std::optional<std::uint64_t> statedLength) const
{
    if (statedLength) {
        return static_cast<std::size_t>(*statedLength);
    }
    if (bytes <= SmallBodyBytes) {
        return std::max(FirstStepBytes, std::bit_ceil(bytes));
    }
    const auto steps = (bytes + LargeStepBytes - 1) / LargeStepBytes;
    return static_cast<std::size_t>(std::min<std::uint64_t>(steps * LargeStepBytes, m_maxBodyBytes + LargeStepBytes));
}

bool BodyMemory::recordReceived(const RequestBody &body)
{
    return body.id && m_budget.recordReceived(*body.id, body.bytes.size(), steadyNow());
}

void BodyMemory::complete(const RequestBody &body)
{
    if (body.id) {
        m_budget.complete(*body.id);
    }
}

void BodyMemory::release(RequestBody &body)
{
    if (body.id) {
        m_budget.close(*body.id);
        m_bodies.erase(*body.id);
        body.id.reset();
    }
    body.grantedBytes = 0;
    body.headBytes = 0;
    body.isDropped = false;
    freeBytes(body);
}

void BodyMemory::drop(BodyId id)
{
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end()) {
        return;
    }
    auto &body = *found->second;
    m_bodies.erase(found);
    ++m_droppedCount;
    body.id.reset();
    body.grantedBytes = 0;
    body.isDropped = true;
    freeBytes(body);
    body.cancelRead();
}

std::size_t BodyMemory::usedBytes() const
{
    return m_budget.usedBytes();
}

std::uint64_t BodyMemory::refusedCount() const
{
    return m_refusedCount;
}

std::uint64_t BodyMemory::droppedCount() const
{
    return m_droppedCount;
}

} // namespace Cardamomhill

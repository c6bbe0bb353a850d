#pragma once

#include "net/bodybudget.h"
#include "net/httpexchange.h"
#include "net/requestbody.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Cardamomhill
{

struct HttpLimits;

/// The memory of all request bodies of a server: grows their buffers within a budget and frees those that give way.
///
/// A body whose length is stated gets its whole buffer at once, so that it is refused before it is sent rather than in
/// its middle. The buffer of another one grows as it arrives. Pages of a buffer that hold no data yet take no memory.
class BodyMemory
{
public:
    explicit BodyMemory(const HttpLimits &limits);

    /// The limit on all bodies together is raised if a single one of the largest size would not fit.
    void setLimits(const HttpLimits &limits);

    /// What the fields of a head take in memory, or 0 if they are as few as usual.
    static std::size_t headBytes(const HttpRequest::header_type &head);

    /// Makes room for a body of so many bytes. Returns false if there is none or if the body gave way to another one.
    /// The body must not move until release().
    bool makeRoom(RequestBody &body, std::size_t bytes, std::optional<std::uint64_t> statedLength);

    /// Notes that bytes of the body have arrived. Returns whether the body has made progress.
    bool recordReceived(const RequestBody &body);

    /// Notes that the body has arrived whole. It counts until release(), also after its bytes were moved elsewhere.
    void complete(const RequestBody &body);

    /// Forgets the body and frees its bytes.
    void release(RequestBody &body);

    std::size_t usedBytes() const;
    std::uint64_t refusedCount() const;
    std::uint64_t droppedCount() const;

private:
    void drop(BodyId id);
    /// How many bytes to ask the budget for.
    std::size_t grantFor(std::size_t bytes, std::optional<std::uint64_t> statedLength) const;

    std::uint64_t m_maxBodyBytes;
    BodyBudget m_budget;
    std::unordered_map<BodyId, RequestBody *> m_bodies;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_droppedCount = 0;
};

} // namespace Cardamomhill

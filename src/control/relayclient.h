#pragma once

#include "control/relaycallerror.h"
#include "core/result.h"
#include "net/asio.h"
#include "objectstore/objectpage.h"
#include "objectstore/relayhost.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Cardamomhill
{

class HttpClient;

/// Asks relays for objects of one kind, over a connection that is kept while the relay stays the same. One call at a
/// time.
class RelayClient
{
public:
    RelayClient(asio::io_context &context, std::string kind);
    ~RelayClient();

    /// All objects, or with a revision the changes since then; with none if there are no changes for StoreRelay::Wait.
    Task<Result<ObjectPage, RelayCallError>> call(const RelayHost &relay, std::optional<std::uint64_t> since);

private:
    asio::io_context &m_context;
    std::string m_kind;
    RelayHost m_relay;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace Cardamomhill

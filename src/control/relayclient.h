#pragma once

#include "control/relaycallerror.h"
#include "core/result.h"
#include "net/asio.h"
#include "objectstore/objectpage.h"
#include "objectstore/relayhost.h"
#include "objectstore/storerevision.h"

#include <memory>
#include <optional>
#include <string>

namespace Cardamomhill
{

class HttpClient;

/// Requests objects of one kind from relays. Keeps the connection while the relay stays the same. Allows one call at a
/// time.
class RelayClient
{
public:
    RelayClient(asio::io_context &context, std::string kind);
    ~RelayClient();

    /// Returns all objects, or the changes since a given revision. That page is empty if nothing changes within
    /// StoreRelay::LongPollTimeout.
    Task<Result<ObjectPage, RelayCallError>> call(const RelayHost &relay, std::optional<StoreRevision> since);

private:
    asio::io_context &m_context;
    std::string m_kind;
    RelayHost m_relay;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace Cardamomhill

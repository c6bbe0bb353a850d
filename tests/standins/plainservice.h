#pragma once

#include "net/asio.h"
#include "standins/backendfaults.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Cardamomhill
{

class HttpExchange;

/// A stand-in service that records each execution, so that a test can count how often a request ran.
class PlainService
{
public:
    explicit PlainService(asio::io_context &context);

    /// Handles a request to any path.
    Task<> execute(HttpExchange &exchange);

    /// The answer to GET /executions: a list of {"path", "key", "request", "body"}.
    std::string executions() const;

    void setFaults(const BackendFaults &faults);

private:
    asio::io_context &m_context;
    nlohmann::json m_executions = nlohmann::json::array();
    BackendFaults m_faults;
};

} // namespace Cardamomhill

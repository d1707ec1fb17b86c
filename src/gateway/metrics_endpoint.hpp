// HTTP endpoint that serves the metrics of a process in the Prometheus text format.
#pragma once

#include "http/server.hpp"
#include "metrics/registry.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace borageford::gateway {

/// Answers requests for the path /metrics; every other path gets status 404.
class metrics_endpoint {
public:
    metrics_endpoint(const boost::asio::any_io_executor& executor, const metrics::registry& registry,
                     const http::server_limits& limits);

    /// Starts listening; does nothing without an address.
    void listen(const std::optional<boost::asio::ip::tcp::endpoint>& address);

private:
    const metrics::registry& m_registry;
    http::server m_server;
};

} // namespace borageford::gateway

// Serves the metrics of a process as text.
#pragma once

#include "http/server.hpp"
#include "metrics/registry.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace borageford::gateway {

class metrics_endpoint {
public:
    metrics_endpoint(const boost::asio::any_io_executor& executor, const metrics::registry& registry);

    /// Without an address there is nothing to serve.
    void listen(const std::optional<boost::asio::ip::tcp::endpoint>& address);

private:
    const metrics::registry& m_registry;
    http::server m_server;
};

} // namespace borageford::gateway

// Implementation of metrics_endpoint.
#include "gateway/metrics_endpoint.hpp"

#include "base/error_kind.hpp"

#include <string>

namespace borageford::gateway {

namespace {

constexpr std::string_view metrics_path = "/metrics";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

http::response refuse(error_kind kind, std::string_view detail) {
    return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
}

} // namespace

metrics_endpoint::metrics_endpoint(const boost::asio::any_io_executor& executor,
                                   const metrics::registry& registry, const http::server_limits& limits)
    : m_registry(registry),
      m_server(
          executor, limits,
          [this](const http::request& received,
                 http::response_writer& writer) -> boost::asio::awaitable<void> {
              const bool is_known = http::path_of(received.target) == metrics_path;
              const auto answer = is_known ? http::make_response(status_ok, "text/plain; version=0.0.4",
                                                                 m_registry.exposition())
                                           : http::make_response(status_not_found, "text/plain", "");
              co_await writer.write(answer);
          },
          refuse) {}

void metrics_endpoint::listen(const std::optional<boost::asio::ip::tcp::endpoint>& address) {
    if (address.has_value()) {
        m_server.listen(*address);
    }
}

} // namespace borageford::gateway

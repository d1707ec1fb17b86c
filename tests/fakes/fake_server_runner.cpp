// Runs the HTTP server and the event loop of a fake server, and builds its JSON answers.
#include "fakes/fake_server_runner.hpp"

#include "http/client.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace borageford::test {

namespace {

constexpr std::size_t body_limit = 64U * 1024 * 1024;
constexpr std::size_t connection_limit = 100000;
constexpr std::chrono::hours idle_time{1};

/// Limits that tests don't reach.
http::server_limits generous_limits() {
    http::server_limits limits;
    limits.body_bytes = body_limit;
    limits.connections = connection_limit;
    limits.idle_time = idle_time;
    return limits;
}

http::response format_refusal(error_kind kind, std::string_view detail) {
    return http::make_response(answer_for(kind).http_status, "text/plain", std::string(detail));
}

} // namespace

int fake_server_runner::run(const std::string& address, http::handler handle) {
    http::server server(executor(), generous_limits(), std::move(handle), format_refusal);
    const auto in_use = server.listen(http::parse_endpoint(address));
    boost::asio::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code&, int) { m_context.stop(); });
    std::cout << "listening " << http::to_string(in_use) << std::endl;
    m_context.run();
    return 0;
}

int run_main(const std::function<int()>& body) {
    try {
        return body();
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}

http::response json_response(unsigned status, std::string body) {
    return http::make_response(status, "application/json", std::move(body));
}

http::response error_response(unsigned status, std::string_view name) {
    return json_response(status, R"({"error":")" + std::string(name) + "\"}");
}

} // namespace borageford::test

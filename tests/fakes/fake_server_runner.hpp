// What the fake servers (fake_engine, fake_platform, fake_service) share: one thread, one HTTP server, the
// line that they print once they listen, and their end by SIGTERM or SIGINT.
#pragma once

#include "http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: all handlers run on the thread that called run(), so the fake servers need no locks.
class fake_server_runner {
public:
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }

    /// Serves calls at this address (IP:PORT) until SIGTERM or SIGINT, then returns 0. Prints "listening
    /// IP:PORT" once it accepts connections.
    int run(const std::string& address, http::handler handle);

private:
    boost::asio::io_context m_context{1};
};

/// Calls `body` and returns its exit code. An exception is printed to standard error and becomes exit code 2.
int run_main(const std::function<int()>& body);

/// An answer with a JSON body, and one with the body {"error": name}.
[[nodiscard]] http::response json_response(unsigned status, std::string body);
[[nodiscard]] http::response error_response(unsigned status, std::string_view name);

} // namespace borageford::test

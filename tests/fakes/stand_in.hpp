// What every stand-in program shares: one thread, one HTTP server, the line that says it listens, and its end
// by SIGTERM or SIGINT.
#pragma once

#include "http/server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: everything runs on the thread that called run(), so the stand-ins need no locks.
class stand_in {
public:
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }

    /// Serves until a signal ends the process; prints "listening IP:PORT" once connections are accepted.
    int run(const std::string& address, http::handler handle);

private:
    boost::asio::io_context m_context{1};
};

/// Runs a stand-in's main and turns an exception into a message and exit code 2.
int run_main(const std::function<int()>& body);

[[nodiscard]] http::response json_response(unsigned status, std::string body);
[[nodiscard]] http::response error_response(unsigned status, std::string_view name);

} // namespace borageford::test

// An object store in this process for unit tests, spoken to over HTTP like the platform's, with an outage to
// switch on.
#pragma once

#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace borageford::test {

/// Used from one thread: that of its executor.
class object_store_stub {
public:
    explicit object_store_stub(const boost::asio::any_io_executor& executor);

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return m_address; }

    std::map<std::string, std::string> objects;
    bool is_out = false;
    std::size_t lost_answers = 0; ///< so many next writes take effect and their connection is cut
    std::size_t puts = 0;
    std::size_t gets = 0;
    std::size_t lists = 0;
    std::function<void()> after_put; ///< lets a test wait for a write instead of for time

private:
    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    [[nodiscard]] http::response answer(const http::request& call);
    [[nodiscard]] http::response list(const http::request& call);

    http::server m_server;
    boost::asio::ip::tcp::endpoint m_address;
};

} // namespace borageford::test

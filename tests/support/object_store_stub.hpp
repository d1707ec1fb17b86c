// An object store in the test's process for unit tests. It is reached over HTTP like the platform's object
// store, and tests can make it fail.
#pragma once

#include "http/server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace borageford::test {

/// May only be used on the thread of its executor. All members may be read and changed by the test.
class object_store_stub {
public:
    explicit object_store_stub(const boost::asio::any_io_executor& executor);

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return m_address; }

    std::map<std::string, std::string> objects;
    bool is_unavailable = false; ///< answers every call with status 503
    /// The number of next writes that take effect but whose connection is closed without an answer.
    std::size_t lost_answers = 0;
    std::size_t puts = 0;
    std::size_t gets = 0;
    std::size_t lists = 0;
    std::function<void()>
        after_put; ///< called after each PUT that took effect, so that a test need not wait for a time

private:
    boost::asio::awaitable<void> handle(const http::request& call, http::response_writer& writer);
    [[nodiscard]] http::response answer(const http::request& call);
    [[nodiscard]] http::response list(const http::request& call);

    http::server m_server;
    boost::asio::ip::tcp::endpoint m_address;
};

} // namespace borageford::test

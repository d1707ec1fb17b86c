// A connection to a backend server, with a record of the requests that were sent on it.
#pragma once

#include "net/connection.hpp"

#include <cstddef>
#include <memory>
#include <utility>

namespace borageford::gateway {

class server_connection {
public:
    explicit server_connection(std::shared_ptr<net::connection> stream) : m_stream(std::move(stream)) {}

    [[nodiscard]] const std::shared_ptr<net::connection>& stream() const noexcept { return m_stream; }

    /// Records that a request is sent.
    void record() noexcept { ++m_request_count; }
    /// How many requests were sent.
    [[nodiscard]] std::size_t request_count() const noexcept { return m_request_count; }

private:
    std::shared_ptr<net::connection> m_stream;
    std::size_t m_request_count = 0;
};

} // namespace borageford::gateway

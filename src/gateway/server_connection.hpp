// A connection to a backend server, with a record of the requests that were sent on it.
#pragma once

#include "net/connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace borageford::gateway {

/// What is known about the answers that may still arrive on a connection: each is the answer to one of the
/// requests that were sent on it.
///
/// Invariant: no request id is sent twice on one connection, so that an answer with the id of the request in
/// progress can only be the answer to this attempt.
class server_connection {
public:
    explicit server_connection(std::shared_ptr<net::connection> stream) : m_stream(std::move(stream)) {}

    [[nodiscard]] const std::shared_ptr<net::connection>& stream() const noexcept { return m_stream; }

    /// Whether a request with this id may be sent.
    [[nodiscard]] bool may_carry(std::string_view request_id) const;
    /// Records that a request is sent. may_carry() must be true for its id.
    void record(std::string_view request_id);
    /// Whether it has carried so many requests that no further one may be sent.
    [[nodiscard]] bool is_used_up() const noexcept;
    /// How many requests were sent.
    [[nodiscard]] std::size_t request_count() const noexcept { return m_sent.size(); }

private:
    std::shared_ptr<net::connection> m_stream;
    /// Hashes of the ids. Two ids with the same hash cost a connection, nothing else.
    std::vector<std::uint64_t> m_sent;
};

} // namespace borageford::gateway

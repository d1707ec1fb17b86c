// Implementation of server_connection.
#include "gateway/server_connection.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace borageford::gateway {

namespace {

/// Requests after which a connection gets no more of them: bounds its record to 4 KB.
constexpr std::size_t max_requests = 512;

} // namespace

bool server_connection::may_carry(std::string_view request_id) const {
    return !is_used_up() && std::ranges::find(m_sent, hash_bytes(request_id)) == m_sent.end();
}

void server_connection::record(std::string_view request_id) {
    m_sent.push_back(hash_bytes(request_id));
}

bool server_connection::is_used_up() const noexcept {
    return m_sent.size() >= max_requests;
}

} // namespace borageford::gateway

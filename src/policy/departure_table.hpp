// The backend servers that have said that they leave.
#pragma once

#include "policy/member_key.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

namespace borageford::policy {

/// A server said in an answer that it leaves.
struct departure {
    server_key server = 0;
    time_point heard;        ///< when the answer was received
    member_key heard_by = 0; ///< the gateway that received it
};

/// A key stands for one start of a server, and a start that leaves never comes back, whatever a registration
/// says later. So a departure is never undone. It is forgotten after `lifetime`, when the server is long
/// gone.
class departure_table {
public:
    /// Returns whether the departure is news.
    bool add(const departure& heard, time_point now);
    [[nodiscard]] bool contains(server_key server) const { return m_departures.contains(server); }
    [[nodiscard]] bool is_empty() const noexcept { return m_departures.empty(); }
    /// The departures to send to another process: at most `max_sent`, those that were heard last.
    [[nodiscard]] std::vector<departure> latest() const;

private:
    static constexpr std::chrono::hours lifetime{1};
    /// They fit into one datagram.
    static constexpr std::size_t max_sent = 64;

    std::map<server_key, departure> m_departures;
};

} // namespace borageford::policy

// Which waiting request gets the next free slot of which backend server. Pure: time is an argument, and what
// is decided is returned.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// Names a request that waits for a slot; drawn by whoever asks.
using slot_ticket = std::uint64_t;

struct slot_request {
    slot_ticket ticket = 0;
    std::string service;
    int tier = 0; ///< 0 is the highest
    time_point arrived;
    std::vector<std::string> avoided; ///< backend servers that have failed this request
};

struct slot_grant {
    slot_ticket ticket = 0;
    std::string server;
};

struct slot_scheduler_limits {
    /// Requests handed to a server for each of its slots. A little over one keeps a slot from idling for the
    /// round trip between one answer and the next request; what waits in the server can't be overtaken.
    double outstanding_per_slot = 1.25;
    /// Slots of each server that the lowest tier leaves free, so that a higher one finds room at once.
    unsigned reserved_slots = 2;
    /// Share of all slots that this process may give out; less than 1 where others give out the rest.
    double share = 1;
};

class slot_scheduler {
public:
    explicit slot_scheduler(slot_scheduler_limits limits) : m_limits(limits) {}

    void set_share(double share) noexcept { m_limits.share = share; }

    /// Adds a server or changes its slots.
    void set_server(std::string_view server, std::string_view service, unsigned slots);
    /// No more grants for it; what it works on goes on.
    void remove_server(std::string_view server);

    void add(slot_request request);
    /// False when it no longer waits: it was granted before.
    bool withdraw(slot_ticket ticket);
    /// A granted request has ended.
    void release(std::string_view server);

    /// All grants that are possible now.
    [[nodiscard]] std::vector<slot_grant> grant();

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    struct server_state {
        std::string service;
        unsigned slots = 1;
        unsigned outstanding = 0;
        bool is_usable = true;
    };
    using tier_queue = std::deque<slot_ticket>;
    using service_queue = std::map<int, tier_queue>;

    [[nodiscard]] std::string choose(const slot_request& request, bool is_lowest) const;
    [[nodiscard]] double room(const server_state& server, bool is_lowest) const;
    void grant_tier(tier_queue& queue, bool is_lowest, std::vector<slot_grant>& grants);

    slot_scheduler_limits m_limits;
    std::map<std::string, server_state, std::less<>> m_servers;
    std::map<std::string, service_queue, std::less<>> m_queues;
    /// Tickets in a queue that aren't here were withdrawn.
    std::unordered_map<slot_ticket, slot_request> m_waiting;
};

} // namespace borageford::policy

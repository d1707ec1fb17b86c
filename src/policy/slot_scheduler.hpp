// Which waiting request gets the next free slot of which backend server. Pure: time is an argument, and what
// is decided is returned.
#pragma once

#include "policy/flow_meter.hpp"
#include "policy/overload_watch.hpp"
#include "policy/slot_choice.hpp"
#include "policy/slot_floor.hpp"
#include "policy/slot_server.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

struct slot_scheduler_limits {
    /// Requests handed to a server for each of its slots. A little over one keeps a slot from idling for the
    /// round trip between one answer and the next request; what waits in the server can't be overtaken.
    double outstanding_per_slot = 1.3;
    /// Slots of each server that the lowest tier leaves free, so that a higher one finds room at once.
    unsigned reserved_slots = 2;
    /// Up to so many requests of the lowest tier a server may hold with fewer slots kept free: a quarter of
    /// them, which of a small server is less.
    unsigned lowest_in_small = 5;
    /// A request is refused after it has waited for so many times its latency target.
    double patience = 1.5;
    /// One whose caller was refused before and came back is late in any case. It is refused again only after
    /// it has waited for so many times its target. Held for longer, callers of streams give up by themselves.
    double patience_of_returned = 2;
    /// A request is refused on arrival when those before it would take so many times its target: the part of
    /// it in which a request is given to a server in time.
    double hopeless_wait = 0.4;
    slot_floor_limits floor{};
    /// Share of all slots that this process may give out; less than 1 where others give out the rest.
    double share = 1;
};

/// Invariant: a server's outstanding requests are those in m_running that name it.
class slot_scheduler {
public:
    explicit slot_scheduler(slot_scheduler_limits limits) : m_limits(limits) {}
    slot_scheduler(slot_scheduler&&) = default;
    slot_scheduler& operator=(slot_scheduler&&) = default;
    slot_scheduler(const slot_scheduler&) = delete; // pools point to its servers
    slot_scheduler& operator=(const slot_scheduler&) = delete;
    ~slot_scheduler() = default;

    void set_share(double share);

    /// A request that occupies a slot.
    struct running_slot {
        slot_ticket ticket = 0;
        server_key server = 0;
        service_key service = 0;
        int tier = 0;
    };

    /// Adds a server or changes its slots.
    void set_server(server_key server, service_key service, unsigned slots, domain_key domain = 0);
    /// No more grants for it; what it works on goes on.
    void remove_server(server_key server);

    /// May refuse it at once; see take_refusals().
    void add(const slot_request& request, time_point now);
    /// False when it doesn't wait, nor for its refusal to be taken.
    bool withdraw(slot_ticket ticket);
    /// A request that occupies a slot already.
    void add_running(const running_slot& slot, time_point now);
    /// A running request has left its slot; unknown ones are passed over.
    void release(const slot_release& ended, time_point now);

    /// A request of this process has left a slot that another process had given out.
    void observe(const slot_release& ended, double prompt, time_point now);
    /// What this process has seen of servers, for another one to go on from: those that failed lately first,
    /// then those that are known best; so many at most.
    [[nodiscard]] std::vector<server_report> report_servers(std::size_t most, time_point now) const;
    /// Takes another process's word of a server; of one that isn't known here, nothing.
    void adopt(const server_report& told, time_point now);

    /// All grants that are possible now.
    [[nodiscard]] std::vector<slot_grant> grant(time_point now);
    /// Requests that were given up since the last call: they wait no more.
    [[nodiscard]] std::vector<slot_refusal> take_refusals();

    /// A server has begun to rest, or has recovered.
    struct health_change {
        server_key server = 0;
        bool rests = false;
        duration rest{};
        unsigned failures_in_row = 0;
        double failure_share = 0;
    };
    /// What has changed since the last call.
    [[nodiscard]] std::vector<health_change> take_health_changes();

    /// Requests that a server works on; 0 for one that isn't known.
    [[nodiscard]] unsigned outstanding(server_key server) const;
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }

private:
    /// Arrival first, so that a tier's requests lie in the order of their ages.
    struct queue_place {
        time_point arrived;
        slot_ticket ticket = 0;
        auto operator<=>(const queue_place&) const = default;
    };
    using tier_queue = std::map<queue_place, slot_request>;
    /// Requests of one tier that wait under the same rule, and how fast they go.
    struct waiting_line {
        tier_queue queue;
        flow_meter grants;
    };
    /// Two lines, since a late request only gets what those in time leave. In one line, which is as long as
    /// requests have patience, nearly all that are served are late, and the others are held as long to hear a
    /// refusal.
    struct tier_state {
        waiting_line in_time; ///< fresh ones that some server could still begin in time
        waiting_line late;
        overload_watch overload;
    };
    using service_queue = std::map<int, tier_state>;
    /// Servers of one service that take work, in no order.
    struct server_pool {
        std::vector<slot_server*> servers;
        /// Those that have slots left, resting or not: under load they are few, where a search through all
        /// servers of a service would grow with it.
        std::vector<slot_server*> with_room;
        std::size_t next = 0; ///< where the search among those begins
    };
    using open_servers = std::vector<slot_server*>;
    /// Which of a tier's two lines a request waits in.
    enum class punctuality { in_time, late };
    struct waiting_place {
        service_key service = 0;
        int tier = 0;
        punctuality line = punctuality::in_time;
        queue_place place;
    };
    struct running_request {
        server_key server = 0;
        service_key service = 0;
        int tier = 0;
        double prompt = 0;
        reading_backlog::mark read_mark{};
    };
    [[nodiscard]] punctuality judge(const slot_request& request, time_point now) const;
    [[nodiscard]] slot_servers servers_of(service_key service) const;
    [[nodiscard]] double most_outstanding(const slot_server& server, bool is_lowest) const;
    [[nodiscard]] double slots_left(const slot_server& server, bool is_lowest) const;
    [[nodiscard]] double room(const slot_server& server, bool is_lowest, time_point now) const;
    void update_room(slot_server& server);
    /// What one line may be given.
    struct line_terms {
        punctuality line = punctuality::in_time;
        bool is_lowest = false; ///< the lowest tier leaves some slots free
        std::size_t most = std::numeric_limits<std::size_t>::max(); ///< grants
    };
    [[nodiscard]] bool is_open(const slot_server& server, const line_terms& terms, time_point now) const;
    [[nodiscard]] open_servers find_open(service_key service, const line_terms& terms, time_point now);
    void leave_pool(slot_server& server);
    [[nodiscard]] static waiting_line& line_of(tier_state& tier, punctuality line) noexcept;
    void start(waiting_line& line, tier_queue::iterator waiting, slot_server& server, time_point now,
               std::vector<slot_grant>& grants);
    void grant_line(service_key service, tier_state& tier, line_terms terms, time_point now,
                    std::vector<slot_grant>& grants);
    /// Whether a request of the tier has waited so long that others must have gone before it.
    [[nodiscard]] static bool goes_without(const tier_state& tier, time_point now);
    void grant_floors(service_key service, service_queue& tiers, time_point now,
                      std::vector<slot_grant>& grants);
    [[nodiscard]] slot_floor& floor_of(service_key service);
    [[nodiscard]] duration patience_of(const slot_request& request) const;
    void enqueue(tier_state& tier, const slot_request& request, punctuality line);
    void enqueue_in_time(tier_state& tier, const slot_request& request, time_point now);
    void enqueue_late(tier_state& tier, const slot_request& request, time_point now);
    void turn_late(tier_state& tier, tier_queue::iterator waiting, time_point now);
    void turn_all_late(tier_state& tier, time_point now);
    /// A wait that is over what a request may wait.
    struct wait_comparison {
        double needed_seconds = 0;
        double available_seconds = 0;
    };
    void refuse(tier_state& tier, const slot_request& request, wait_comparison why, time_point now);
    void give_up_late(time_point now);
    void drop_unused(server_key server);
    void record_outcome(server_key server, slot_outcome outcome, time_point now);

    slot_scheduler_limits m_limits;
    std::unordered_map<server_key, slot_server> m_servers;
    /// Invariant: holds exactly the usable servers, each in the pool of its service.
    std::unordered_map<service_key, server_pool> m_pools;
    std::unordered_map<service_key, service_queue> m_queues;
    std::unordered_map<service_key, slot_floor> m_floors;
    std::unordered_map<slot_ticket, waiting_place> m_waiting;
    /// When each waiting request is given up; tickets that don't wait any more are passed over.
    std::multimap<time_point, slot_ticket> m_give_up;
    std::unordered_map<slot_ticket, running_request> m_running;
    std::vector<health_change> m_health_changes;
    std::uint64_t m_grants = 0;
    std::vector<slot_refusal> m_refusals;
};

} // namespace borageford::policy

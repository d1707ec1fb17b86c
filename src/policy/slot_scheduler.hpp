// Schedules the slots of backend servers: decides which waiting request gets the next free slot of which
// server. The scheduler does no I/O and reads no clock; it receives the current time as an argument and
// returns its decisions.
#pragma once

#include "policy/kept_rooms.hpp"
#include "policy/memory_model.hpp"
#include "policy/rate_limit_schedule.hpp"
#include "policy/return_planner.hpp"
#include "policy/server_pools.hpp"
#include "policy/slot_choice.hpp"
#include "policy/slot_queues.hpp"
#include "policy/slot_scheduler_limits.hpp"
#include "policy/slot_server.hpp"
#include "policy/slot_time_model.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace borageford::policy {

/// Queues slot requests by service and tier and grants them slots. Higher tiers go first, except for the
/// guaranteed minimum shares of lower tiers (slot_floor). Within a tier, requests that can still meet their
/// latency target go before late ones.
///
/// Invariant: a server's `outstanding` is the number of entries of m_running that name the server.
class slot_scheduler {
public:
    explicit slot_scheduler(slot_scheduler_limits limits) : m_limits(limits) {}
    slot_scheduler(slot_scheduler&&) = default;
    slot_scheduler& operator=(slot_scheduler&&) = default;
    // Not copyable, since m_pools points to elements of m_servers.
    slot_scheduler(const slot_scheduler&) = delete;
    slot_scheduler& operator=(const slot_scheduler&) = delete;
    ~slot_scheduler() = default;

    /// Changes slot_scheduler_limits::share.
    void set_share(double share);

    /// Changes the part of the servers' rate limits that this process may use.
    void set_rate_share(rate_share share, time_point now);
    /// Sets the rate limit that a server names, in requests per second; nothing if it names none. Ignored for
    /// a server that isn't known.
    void set_rate_limit(server_key server, std::optional<double> per_second, time_point now);
    /// A server wants no requests of a member until `until`. Ignored for a server that isn't known.
    void set_backoff(server_key server, member_key member, time_point until, time_point now);
    /// The servers that want no requests of this member now.
    [[nodiscard]] std::vector<backoff_notice> list_backoffs(member_key member, time_point now) const;
    /// Forgets what was saved up within the servers' rate limits, because other processes have granted slots
    /// until now.
    void restart_rate_limits(time_point now);

    /// A running request that occupies a slot.
    struct running_slot {
        slot_ticket ticket = 0;
        server_key server = 0;
        service_key service = 0;
        int tier = 0;
        token_cost cost{};
    };

    /// Sets the tokens that fit into the memory of each engine of the service; 0: not known.
    void set_engine_memory(service_key service, double tokens);

    /// Adds a server, or changes its service, number of slots, failure domain or software.
    void set_server(server_key server, service_key service, unsigned slots, domain_key domain = 0,
                    server_software software = {});
    /// Grants no more slots of this server. Its running requests continue.
    void remove_server(server_key server);

    /// Adds a request to a queue, or refuses it at once if it is expected to wait too long; see
    /// take_refusals().
    void add(const slot_request& request, time_point now);
    /// Removes a waiting request, or its refusal that hasn't been taken yet. Returns false if there is
    /// neither.
    bool withdraw(slot_ticket ticket);
    /// Adds a request that already occupies a slot, which another process granted. Ignored if the ticket is
    /// already running.
    void add_running(const running_slot& slot, time_point now);
    /// Records that a running request ended and released its slot. Ignored if the ticket isn't running.
    void release(const slot_release& ended, time_point now);

    /// Records that a request of this process, whose slot another process granted, has ended. `prompt` is the
    /// number of its prompt tokens.
    void observe(const slot_release& ended, double prompt, time_point now);
    /// Returns what this process has learned about its servers, for another process to continue with: at most
    /// `max_count` reports, first on servers that failed since their last success, then on those with the
    /// most measured requests.
    [[nodiscard]] std::vector<server_report> report_servers(std::size_t max_count, time_point now) const;
    /// Takes over a report of another process on a server. Ignored if the server isn't known here.
    void adopt(const server_report& reported, time_point now);

    /// Grants slots to all waiting requests that can have one now. Also refuses requests that have waited too
    /// long; see take_refusals().
    [[nodiscard]] std::vector<slot_grant> grant(time_point now);
    /// Returns the refusals since the last call. The refused requests are no longer queued.
    [[nodiscard]] std::vector<slot_refusal> take_refusals();
    /// Takes over a promise that another process made to a refused caller.
    void adopt(const return_promise& told, time_point now);
    /// Returns what became of the returns of refused callers since the last call.
    [[nodiscard]] return_counts take_return_counts() { return std::exchange(m_returns.counts(), {}); }

    /// A change of a server's health.
    struct health_change {
        server_key server = 0;
        server_health::change what = server_health::change::none;
        duration cooldown{};          ///< length of the cooldown that has started
        unsigned failures_in_row = 0; ///< failures since the last success
        double failure_share = 0;     ///< moving average of the share of failed requests, 0 to 1
    };
    /// Returns the health changes since the last call.
    [[nodiscard]] std::vector<health_change> take_health_changes();

    /// An engine seems to have less memory than it was said to have.
    struct memory_overflow {
        server_key server = 0;
        service_key service = 0;
        double held = 0;  ///< tokens of the requests that it held when it crashed or turned one away
        double limit = 0; ///< tokens that this process gives an engine of the service from now on
    };
    /// Returns the overflows since the last call.
    [[nodiscard]] std::vector<memory_overflow> take_memory_overflows();

    /// The memory of the engines of a service.
    struct memory_use {
        service_key service = 0;
        double reserved = 0;     ///< tokens of the requests that this process knows to hold slots
        double free = 0;         ///< tokens that this process may give them in addition
        std::uint64_t waits = 0; ///< requests that found the memory too full, so far
    };
    /// Returns the use of the engines' memory, of the services whose engines have a known one.
    [[nodiscard]] std::vector<memory_use> measure_memory() const;

    /// Returns the servers whose rate limits were used up by a grant since the last call, each once for each
    /// time.
    [[nodiscard]] std::vector<server_key> take_used_up_limits() { return m_rate_limits.take_used_up(); }
    /// Whether the server may get new requests.
    [[nodiscard]] bool is_usable(server_key server) const;

    /// Number of a server's running requests; 0 for a server that isn't known.
    [[nodiscard]] unsigned outstanding(server_key server) const;
    /// How long a request of this service and tier is expected to occupy a slot; zero if unknown.
    [[nodiscard]] duration expect_slot_time(service_key service, int tier) const {
        return m_slot_times.expect(service, tier);
    }
    /// Slots that the latest decisions kept free from the lowest tiers of all services; 0 with
    /// reserve_kind::fixed.
    [[nodiscard]] double reserved_slots() const;
    /// Number of queued requests.
    [[nodiscard]] std::size_t waiting() const noexcept { return m_queues.size(); }
    /// Number of requests that occupy slots.
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }

private:
    struct running_request {
        server_key server = 0;
        service_key service = 0;
        int tier = 0;
        double prompt = 0;                ///< tokens
        prompt_backlog::mark read_mark{}; ///< returned by prompt_backlog::add() at the request's start
        double output = 0;                ///< expected tokens
        double memory = 0;                ///< tokens reserved in the server's memory
    };
    /// Whether a request belongs into the queue of requests that can still meet their target or into that of
    /// late requests.
    [[nodiscard]] target_state classify(const slot_request& request, time_point now) const;
    bool refuse_for_rate_limits(const slot_request& request, time_point now);
    bool refuse_for_backoffs(const slot_request& request, time_point now);
    bool refuse_for_software(const slot_request& request);
    void refuse_waiting_in_vain(time_point now);
    void examine_rate_limits(time_point now);
    void update_with_room(slot_server& server);
    /// Restrictions on the grants to one queue.
    struct grant_terms {
        target_state state = target_state::in_time;
        bool is_lowest = false; ///< the queue is of the lowest tier, which leaves some slots free
        std::size_t max_grants = std::numeric_limits<std::size_t>::max();
    };
    /// Whether the server may be sent a request under these terms.
    [[nodiscard]] bool can_take_request(const slot_server& server, const grant_terms& terms,
                                        time_point now) const;
    [[nodiscard]] server_pools::server_list find_available(const slot_request& request,
                                                           const grant_terms& terms, time_point now);
    void remove_from_pool(slot_server& server);
    void update_memory_limit(slot_server& server);
    void update_memory_limits();
    /// Chooses among the servers with enough memory if none of the available ones has it; nullptr if the
    /// request should wait.
    [[nodiscard]] slot_server* choose_by_memory(slot_request& request, const slot_choice_terms& choice,
                                                const grant_terms& terms);
    void keep_room(const slot_request& request, const slot_choice_terms& choice);
    void drop_kept_rooms(time_point now);
    void learn_memory(slot_server& server, const running_request& request, const slot_release& ended,
                      time_point now);
    void start(request_queue& queue, request_queue::position waiting, slot_server& server, time_point now,
               std::vector<slot_grant>& grants);
    void grant_from_queue(service_key service, tier_queues& tier, grant_terms terms, time_point now,
                          std::vector<slot_grant>& grants);
    /// Whether the tier's oldest request has waited so long that the tier needs its guaranteed minimum share.
    [[nodiscard]] static bool needs_minimum_share(const tier_queues& tier, time_point now);
    void grant_minimum_shares(service_key service, slot_queues::service_queues& tiers, time_point now,
                              std::vector<slot_grant>& grants);
    [[nodiscard]] slot_floor& floor_of(service_key service);
    [[nodiscard]] slot_reserve& reserve_of(service_key service);
    [[nodiscard]] std::vector<tier_occupancy> list_occupancies(service_key service);
    /// Number of requests of a queue, at most `max_count`, that may be granted slots now without those kept
    /// for higher tiers.
    [[nodiscard]] std::size_t count_unreserved(service_key service, int tier, const grant_terms& terms,
                                               std::size_t max_count, time_point now);
    [[nodiscard]] duration max_wait_of(const slot_request& request) const;
    void enqueue_in_time(const slot_request& request, time_point now);
    void enqueue_late(const slot_request& request, time_point now);
    [[nodiscard]] double spare_slots_per_second(const slot_request& request, time_point now) const;
    void move_late_requests(tier_queues& tier, time_point now);
    /// The wait that led to a refusal, and the limit that it exceeds.
    struct wait_comparison {
        double needed_seconds = 0;
        double available_seconds = 0;
    };
    void refuse(const slot_request& request, wait_comparison why, time_point now);
    [[nodiscard]] return_planner::plan plan_return(const slot_request& request, time_point now);
    [[nodiscard]] tier_room room_for(const slot_request& request, time_point now) const;
    [[nodiscard]] bool enqueue_promised(const slot_request& request, time_point now);
    void refuse_overdue(time_point now);
    void erase_if_unused(server_key server);
    void record_outcome(server_key server, slot_outcome outcome, time_point now);

    slot_scheduler_limits m_limits;
    std::unordered_map<server_key, slot_server> m_servers;
    /// Invariant: contains exactly the usable servers, each in the pool of its service.
    server_pools m_pools;
    slot_queues m_queues;
    std::unordered_map<service_key, slot_floor> m_floors;
    std::unordered_map<service_key, slot_reserve> m_reserves;
    /// The result of the latest slots_kept_from() for the lowest tier of each service.
    std::unordered_map<service_key, double> m_kept_from_lowest;
    slot_time_model m_slot_times;
    return_planner m_returns;
    std::unordered_map<slot_ticket, running_request> m_running;
    rate_limit_schedule m_rate_limits;
    memory_model m_memory;
    kept_rooms m_kept_rooms;
    std::unordered_map<service_key, std::uint64_t> m_memory_waits; ///< see memory_use::waits
    std::size_t m_memory_searches = 0;                             ///< since the last grant() began
    std::vector<memory_overflow> m_memory_overflows;
    std::vector<health_change> m_health_changes;
    bool m_has_fewer_servers = false; ///< waiting requests may have no server left that takes them in time
    std::uint64_t m_grants = 0;       ///< number of all grants so far, which numbers the next one
    std::vector<slot_refusal> m_refusals;
};

} // namespace borageford::policy

// The scheduler's state for one backend server: its slots, its running requests, and the estimates learned
// from finished requests.
#pragma once

#include "policy/engine_memory.hpp"
#include "policy/first_event_model.hpp"
#include "policy/output_token_time.hpp"
#include "policy/prompt_backlog.hpp"
#include "policy/server_backoff.hpp"
#include "policy/server_health.hpp"
#include "policy/server_rate_limit.hpp"
#include "policy/server_report.hpp"
#include "policy/slot_request.hpp"
#include "policy/slot_turnover.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace borageford::policy {

/// The software of a backend server, and for what it may get slots.
struct server_software {
    software_key version = 0;
    /// It gets no new requests, only those that resume a stream which its version began.
    bool only_resumes = false;
};

/// State and estimates of one backend server.
struct slot_server {
    server_key key = 0;
    service_key service = 0;
    domain_key domain = 0;
    server_software software;
    unsigned slots = 1;
    unsigned outstanding = 0; ///< granted requests that haven't ended
    /// Sequence number of its last grant; among equal servers, the one with the lowest is chosen.
    std::uint64_t last_grant = 0;
    bool is_usable = false; ///< it may get new requests
    /// Index in `server_pool::with_room` of its service; nullopt: not in that list.
    std::optional<std::size_t> with_room_index;
    /// The rate limit that the server names; nothing if it names none.
    std::optional<server_rate_limit> rate_limit;
    bool is_rate_blocked = false; ///< rate_limit allows no further request until rate_blocked_until
    time_point rate_blocked_until;
    server_backoff backoff; ///< by the gateways that it has turned away
    server_health health;
    first_event_model first_event;
    output_token_time token_time;
    prompt_backlog prompts_ahead;
    engine_memory memory;
    slot_turnover turnover;

    /// Whether the request may run here as far as the server's software is concerned.
    [[nodiscard]] bool fits(const slot_request& request) const noexcept {
        return request.software == 0 ? !software.only_resumes : request.software == software.version;
    }
    /// The expected time until the first event of a request that is sent to the server at `now`.
    [[nodiscard]] duration expect_first_event(const slot_request& request, time_point now) const;
    /// By how much the answer is expected to exceed the request's deadline, if its first event comes after
    /// `until_first_event`; zero if it is expected to end in time.
    [[nodiscard]] duration expect_overrun(const slot_request& request, duration until_first_event,
                                          time_point now) const;
    /// How long the server's rate limit allows no further request; zero if it does or if there is none.
    [[nodiscard]] duration rate_wait(time_point now) const;
    /// Whether slots come free so often that none needs to be reserved for higher tiers.
    [[nodiscard]] bool has_fast_turnover() const;
    /// Whether a slot is free. `share` is the part of the server's slots that this process may grant.
    [[nodiscard]] bool has_free_slot(double share) const;

    /// Learns from the end of a request with `prompt` prompt tokens that this process granted the slot for.
    /// `read_mark` is the value that `prompts_ahead.add()` returned when the request started.
    void learn(const slot_release& ended, double prompt, prompt_backlog::mark read_mark, time_point now);
    /// Learns from the end of a request with `prompt` prompt tokens that another process granted the slot
    /// for.
    void observe(const slot_release& ended, double prompt);

    /// What is sent about this server to another process.
    [[nodiscard]] server_report report(time_point now) const;
    /// Takes over what another process has learned, where less is known here.
    void adopt(const server_report& reported, time_point now);
};

/// Whether the request was already sent to this server and failed there.
[[nodiscard]] bool has_failed(const slot_request& request, server_key server);

} // namespace borageford::policy

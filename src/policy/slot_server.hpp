// One backend server as the scheduler sees it: its slots, what it was given, and what it has shown.
#pragma once

#include "policy/first_event_model.hpp"
#include "policy/output_pace.hpp"
#include "policy/reading_backlog.hpp"
#include "policy/server_health.hpp"
#include "policy/server_report.hpp"
#include "policy/slot_request.hpp"
#include "policy/slot_turnover.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace borageford::policy {

struct slot_server {
    server_key key = 0;
    service_key service = 0;
    domain_key domain = 0;
    unsigned slots = 1;
    unsigned outstanding = 0;
    std::uint64_t last_grant = 0; ///< number of the last grant; among equals the one that rested longest goes
    bool is_usable = false;
    std::optional<std::size_t> room_place; ///< in its pool's list of servers with room
    server_health health;
    first_event_model first_event;
    output_pace pace;
    reading_backlog reading;
    slot_turnover turnover;

    /// From now to the first event of a request that is given to it now.
    [[nodiscard]] duration expect_first_event(const slot_request& request, time_point now) const;
    /// How long after its caller's time the answer is expected to end.
    [[nodiscard]] duration expect_overrun(const slot_request& request, duration until_first_event,
                                          time_point now) const;
    /// Slots come free so often that none needs to be kept free.
    [[nodiscard]] bool has_fast_turnover() const;
    /// `share`: part of its slots that may be given out here.
    [[nodiscard]] bool has_free_slot(double share) const;

    /// A request with this prompt has left it; `read_mark` is what the backlog gave at its start.
    void learn(const slot_release& ended, double prompt, reading_backlog::mark read_mark, time_point now);
    /// A request with this prompt has left it that another process had given it.
    void observe(const slot_release& ended, double prompt);

    /// What another process is told of it.
    [[nodiscard]] server_report report(time_point now) const;
    /// Takes another process's word where little is known here.
    void adopt(const server_report& told, time_point now);
};

/// Whether the request was sent to this server before, in vain.
[[nodiscard]] bool has_failed(const slot_request& request, server_key server);

} // namespace borageford::policy

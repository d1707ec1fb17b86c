// Joins the records that entries and sidecars left about one request into what happened to it.
#pragma once

#include "audit/findings.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace borageford::audit {

using time_point = std::chrono::system_clock::time_point;

/// One offer to one backend server and what became of it.
struct attempt {
    dispatch_id dispatch;
    std::string backend_server;
    std::uint64_t revision = 0; ///< in force for the latest decision on it
    std::optional<time_point> offered;
    std::optional<time_point> queued;
    std::optional<time_point> granted;
    std::optional<time_point> start_sent; ///< by the entry
    std::optional<time_point> started;    ///< by the sidecar, at its backend server
    std::optional<time_point> ended;
    std::optional<error_kind> failure; ///< why it ended, if not well
    std::optional<error_kind> refusal; ///< by the sidecar
    std::string detail;                ///< of the refusal
    bool has_been_withdrawn = false;
    bool was_pushed_out = false;
    bool has_lapsed = false;
    bool was_cancelled = false;

    /// The sidecar gave it to its backend server and didn't take that back.
    [[nodiscard]] bool has_run() const { return started && !refusal; }
    /// The entry sent the start and nothing tells whether the sidecar began.
    [[nodiscard]] bool may_have_run() const {
        return start_sent && !started && !refusal && !has_lapsed && !has_been_withdrawn;
    }
};

struct request_history {
    request_id request;
    std::string workspace;
    unsigned tier = 0;
    std::string target;
    std::string entry; ///< VM; empty when the entry left no record
    std::optional<time_point> received;
    std::uint64_t revision = 0; ///< in force when it came in
    /// What the entry did last: answered, refused, failed or cancelled.
    std::optional<record> outcome;
    std::vector<attempt> attempts; ///< by the time of their first record
    std::vector<witnessed_record> records;

    [[nodiscard]] std::vector<const attempt*> runs() const;
    [[nodiscard]] bool may_have_run() const;
};

/// Of one request. Records of others are left out.
[[nodiscard]] request_history make_history(const request_id& request, const findings& found);

/// Of every request in the findings, by their first record.
[[nodiscard]] std::vector<request_history> make_histories(const findings& found);

} // namespace borageford::audit

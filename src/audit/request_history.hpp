// Combines the audit records that an entry and several sidecars wrote about one request into the history of
// that request.
#pragma once

#include "audit/search_result.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace borageford::audit {

using time_point = std::chrono::system_clock::time_point;

/// One offer of the request to one backend server and its result.
struct attempt {
    dispatch_id dispatch;
    std::string backend_server;
    std::uint64_t revision = 0; ///< revision of the configuration in the latest record of this attempt
    std::optional<time_point> offered;
    std::optional<time_point> queued;
    std::optional<time_point> granted;
    std::optional<time_point> start_sent; ///< when the entry sent the start message
    std::optional<time_point> started;    ///< when the sidecar sent the request to its backend server
    std::optional<time_point> ended;
    std::optional<error_kind> failure; ///< why the attempt failed; nothing if it succeeded
    std::optional<error_kind> refusal; ///< why the sidecar refused the offer
    std::string detail;                ///< details of the refusal
    bool has_been_withdrawn = false;
    bool was_pushed_out = false;
    bool has_expired = false;
    bool was_cancelled = false;

    /// Whether the sidecar sent the request to its backend server. A refusal recorded for a started attempt
    /// means that the start was revoked.
    [[nodiscard]] bool has_run() const { return started && !refusal; }
    /// Whether the entry sent the start message and no record shows if the sidecar started the request.
    [[nodiscard]] bool may_have_run() const {
        return start_sent && !started && !refusal && !has_expired && !has_been_withdrawn;
    }
};

/// What the audit records show about one request.
struct request_history {
    request_id request;
    std::string workspace;
    unsigned tier = 0;
    std::string target;
    std::string entry; ///< VM of the entry that received the request; empty: none of its records was found
    std::optional<time_point> received;
    std::uint64_t revision = 0; ///< revision of the configuration when the entry received the request
    /// The entry's last record about the whole request: answered, refused, failed or cancelled.
    std::optional<record> outcome;
    std::vector<attempt> attempts; ///< in the order of their first record
    std::vector<attributed_record> records;

    /// The attempts that ran.
    [[nodiscard]] std::vector<const attempt*> runs() const;
    /// Whether any attempt may have run, see attempt::may_have_run().
    [[nodiscard]] bool may_have_run() const;
};

/// Builds the history of one request. Records of other requests are ignored.
[[nodiscard]] request_history make_history(const request_id& request, const search_result& found);

/// Builds the history of each request whose records were found, in the order of their first records.
[[nodiscard]] std::vector<request_history> make_histories(const search_result& found);

} // namespace borageford::audit

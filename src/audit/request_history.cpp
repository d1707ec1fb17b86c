// Builds the history of a request: goes through its records in order of time and enters each into the
// request's attempts and outcome.
#include "audit/request_history.hpp"

#include <algorithm>
#include <map>

namespace borageford::audit {
namespace {

constexpr std::string_view entry_role = "entry";

attempt& find_attempt(request_history& history, const record& audit_record) {
    const auto found = std::ranges::find(history.attempts, audit_record.dispatch, &attempt::dispatch);
    if (found != history.attempts.end()) {
        return *found;
    }
    attempt fresh;
    fresh.dispatch = audit_record.dispatch;
    history.attempts.push_back(std::move(fresh));
    return history.attempts.back();
}

/// Enters an entry's record into the attempt.
void apply_entry_record(attempt& offer, const record& audit_record) {
    switch (audit_record.what) {
    case event::offered:
        offer.offered = audit_record.time;
        break;
    case event::started:
        offer.start_sent = audit_record.time;
        break;
    case event::refused:
        // The entry records the refusal that it received from the sidecar. The sidecar's own record is
        // preferred but may be lost.
        if (!offer.refusal) {
            offer.refusal = audit_record.reason;
            offer.detail = audit_record.detail;
        }
        break;
    default:
        break;
    }
}

/// Enters a sidecar's record into the attempt.
void apply_sidecar_record(attempt& offer, const record& audit_record) {
    switch (audit_record.what) {
    case event::queued:
        offer.queued = audit_record.time;
        break;
    case event::refused:
        offer.refusal = audit_record.reason.value_or(error_kind::internal);
        offer.detail = audit_record.detail;
        break;
    case event::pushed_out:
        offer.was_pushed_out = true;
        break;
    case event::granted:
        offer.granted = audit_record.time;
        break;
    case event::withdrawn:
        offer.has_been_withdrawn = true;
        break;
    case event::lapsed:
        offer.has_expired = true;
        break;
    case event::started:
        offer.started = audit_record.time;
        break;
    case event::ended:
        offer.ended = audit_record.time;
        offer.failure = audit_record.reason;
        break;
    case event::cancelled:
        offer.was_cancelled = true;
        break;
    default:
        break;
    }
}

bool is_outcome(event what) {
    return what == event::answered || what == event::refused || what == event::failed ||
           what == event::cancelled;
}

void apply_to_attempt(request_history& history, const attributed_record& attributed) {
    const auto& audit_record = attributed.audit_record;
    auto& offer = find_attempt(history, audit_record);
    offer.revision = audit_record.revision;
    if (!audit_record.backend_server.empty()) {
        offer.backend_server = audit_record.backend_server;
    }
    if (attributed.role == entry_role) {
        apply_entry_record(offer, audit_record);
    } else {
        apply_sidecar_record(offer, audit_record);
    }
}

void apply_record(request_history& history, const attributed_record& attributed) {
    const auto& audit_record = attributed.audit_record;
    history.records.push_back(attributed);
    if (history.workspace.empty()) {
        history.workspace = audit_record.workspace;
        history.tier = audit_record.tier;
        history.target = audit_record.target;
    }
    if (!audit_record.dispatch.is_none()) {
        apply_to_attempt(history, attributed);
    }
    if (attributed.role != entry_role) {
        return;
    }
    history.entry = attributed.writer;
    if (audit_record.what == event::received) {
        history.received = audit_record.time;
        history.revision = audit_record.revision;
    }
    // A refusal with a dispatch concerns only one sidecar; the entry may still run the request elsewhere.
    if (is_outcome(audit_record.what) &&
        (audit_record.dispatch.is_none() || audit_record.what == event::answered)) {
        history.outcome = audit_record;
    }
}

} // namespace

std::vector<const attempt*> request_history::runs() const {
    std::vector<const attempt*> out;
    for (const auto& offer : attempts) {
        if (offer.has_run()) {
            out.push_back(&offer);
        }
    }
    return out;
}

bool request_history::may_have_run() const {
    return std::ranges::any_of(attempts, &attempt::may_have_run);
}

request_history make_history(const request_id& request, const search_result& found) {
    request_history history;
    history.request = request;
    for (const auto& attributed : found.records) {
        if (attributed.audit_record.request == request) {
            apply_record(history, attributed);
        }
    }
    return history;
}

std::vector<request_history> make_histories(const search_result& found) {
    std::vector<request_history> histories;
    std::map<request_id, std::size_t> indexes;
    for (const auto& attributed : found.records) {
        const auto& request = attributed.audit_record.request;
        if (request.is_none()) {
            continue;
        }
        const auto [position, is_new] = indexes.try_emplace(request, histories.size());
        if (is_new) {
            histories.emplace_back().request = request;
        }
        apply_record(histories.at(position->second), attributed);
    }
    return histories;
}

} // namespace borageford::audit

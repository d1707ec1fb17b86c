// Builds the history of a request: goes through its records in order of time and enters each into the
// request's attempts and outcome.
#include "audit/request_history.hpp"

#include <algorithm>
#include <map>

namespace borageford::audit {
namespace {

constexpr std::string_view entry_role = "entry";

attempt& find_attempt(request_history& history, const record& entry) {
    const auto found = std::ranges::find(history.attempts, entry.dispatch, &attempt::dispatch);
    if (found != history.attempts.end()) {
        return *found;
    }
    attempt fresh;
    fresh.dispatch = entry.dispatch;
    history.attempts.push_back(std::move(fresh));
    return history.attempts.back();
}

/// Enters an entry's record into the attempt.
void apply_entry_record(attempt& offer, const record& entry) {
    switch (entry.what) {
    case event::offered:
        offer.offered = entry.time;
        break;
    case event::started:
        offer.start_sent = entry.time;
        break;
    case event::refused:
        // The entry records the refusal that it received from the sidecar. The sidecar's own record is
        // preferred but may be lost.
        if (!offer.refusal) {
            offer.refusal = entry.reason;
            offer.detail = entry.detail;
        }
        break;
    default:
        break;
    }
}

/// Enters a sidecar's record into the attempt.
void apply_sidecar_record(attempt& offer, const record& entry) {
    switch (entry.what) {
    case event::queued:
        offer.queued = entry.time;
        break;
    case event::refused:
        offer.refusal = entry.reason.value_or(error_kind::internal);
        offer.detail = entry.detail;
        break;
    case event::pushed_out:
        offer.was_pushed_out = true;
        break;
    case event::granted:
        offer.granted = entry.time;
        break;
    case event::withdrawn:
        offer.has_been_withdrawn = true;
        break;
    case event::lapsed:
        offer.has_expired = true;
        break;
    case event::started:
        offer.started = entry.time;
        break;
    case event::ended:
        offer.ended = entry.time;
        offer.failure = entry.reason;
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

void apply_to_attempt(request_history& history, const witnessed_record& witnessed) {
    const auto& entry = witnessed.entry;
    auto& offer = find_attempt(history, entry);
    offer.revision = entry.revision;
    if (!entry.backend_server.empty()) {
        offer.backend_server = entry.backend_server;
    }
    if (witnessed.role == entry_role) {
        apply_entry_record(offer, entry);
    } else {
        apply_sidecar_record(offer, entry);
    }
}

void apply_record(request_history& history, const witnessed_record& witnessed) {
    const auto& entry = witnessed.entry;
    history.records.push_back(witnessed);
    if (history.workspace.empty()) {
        history.workspace = entry.workspace;
        history.tier = entry.tier;
        history.target = entry.target;
    }
    if (!entry.dispatch.is_none()) {
        apply_to_attempt(history, witnessed);
    }
    if (witnessed.role != entry_role) {
        return;
    }
    history.entry = witnessed.writer;
    if (entry.what == event::received) {
        history.received = entry.time;
        history.revision = entry.revision;
    }
    // A refusal with a dispatch concerns only one sidecar; the entry may still run the request elsewhere.
    if (is_outcome(entry.what) && (entry.dispatch.is_none() || entry.what == event::answered)) {
        history.outcome = entry;
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

request_history make_history(const request_id& request, const findings& found) {
    request_history history;
    history.request = request;
    for (const auto& witnessed : found.records) {
        if (witnessed.entry.request == request) {
            apply_record(history, witnessed);
        }
    }
    return history;
}

std::vector<request_history> make_histories(const findings& found) {
    std::vector<request_history> histories;
    std::map<request_id, std::size_t> indexes;
    for (const auto& witnessed : found.records) {
        const auto& request = witnessed.entry.request;
        if (request.is_none()) {
            continue;
        }
        const auto [position, is_new] = indexes.try_emplace(request, histories.size());
        if (is_new) {
            histories.emplace_back().request = request;
        }
        apply_record(histories.at(position->second), witnessed);
    }
    return histories;
}

} // namespace borageford::audit

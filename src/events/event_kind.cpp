// The table that gives each kind of event its name, level, rate limit, meaning and fields.
#include "events/event_kind.hpp"

#include <array>
#include <cstddef>

namespace borageford::events {
namespace {

using enum log::level;

/// Lines a second. State changes are rare; the limit keeps a dependency that fails and recovers in quick
/// succession from flooding the log.
constexpr double state_rate = 50;
/// Lines a second about requests that succeeded. At a gateway's usual load every line is written; under a
/// higher load the lines are a sample.
constexpr double usual_rate = 60;
/// Lines a second about requests that failed: all of them are logged up to several times a gateway's usual
/// load.
constexpr double failure_rate = 300;

constexpr std::array descriptions{
    event_description{event_kind::started, "started", info, state_rate,
                      "The process accepts callers' connections.", "settings"},
    event_description{event_kind::settings_reloaded, "settings_reloaded", info, state_rate,
                      "The settings file was read again, after SIGHUP or since it had changed.", "settings"},
    event_description{event_kind::settings_refused, "settings_refused", error, state_rate,
                      "The settings file has errors; the previous settings stay in use.", "settings reason"},
    event_description{
        event_kind::stop_requested, "stop_requested", info, state_rate,
        "SIGTERM: the process reports itself as not ready, and closes each connection after its answer.",
        "requests connections"},
    event_description{event_kind::stopped, "stopped", info, state_rate, "The process ends.",
                      "requests_cut connections_cut stopping_ms"},
    event_description{event_kind::store_lost, "store_lost", warning, state_rate,
                      "The store doesn't answer, refuses requests, or let an open poll run past its "
                      "timeout; the rows last read from the table stay in use.",
                      "table reason"},
    event_description{event_kind::store_regained, "store_regained", info, state_rate,
                      "The store answers again; the changes made during the outage are read next.",
                      "table lost_ms era version"},
    event_description{event_kind::store_check_failed, "store_check_failed", warning, state_rate,
                      "The store didn't confirm what this process knows when it was asked, since a caller "
                      "resumes a stream; the other gateways are asked which software version began it.",
                      "table reason"},
    event_description{event_kind::row_unreadable, "row_unreadable", warning, state_rate,
                      "A row of the store can't be read; it is passed over.", "row reason"},
    event_description{
        event_kind::store_era_changed, "store_era_changed", warning, state_rate,
        "The store was restored from an older copy. Servers that the copy lacks are retained for a while; "
        "rows older than those already read are ignored until they are written again.",
        "era former held version source missing outdated"},
    event_description{event_kind::peer_asked, "peer_asked", info, state_rate,
                      "Another gateway holds a newer version, which this process requested from it.",
                      "peer what held_era held offered_era offered"},
    event_description{event_kind::peer_failed, "peer_failed", warning, state_rate,
                      "Another gateway didn't deliver the version that this process requested.",
                      "peer what reason"},
    event_description{event_kind::slot_source_changed, "slot_source_changed", info, state_rate,
                      "Slots are granted elsewhere from now on: by a coordinator, by this process for all "
                      "gateways, or by this process out of its local share.",
                      "from to coordinator waiting running"},
    event_description{event_kind::member_attached, "member_attached", info, state_rate,
                      "This process is the coordinator, and a gateway has begun to request slots from it.",
                      "member members"},
    event_description{
        event_kind::member_lost, "member_lost", warning, state_rate,
        "A gateway that had requested slots sends no more messages; the slots granted to it are free again.",
        "member silent_ms"},
    event_description{event_kind::configuration_in_force, "configuration_in_force", info, state_rate,
                      "A newer configuration is in force in this process.",
                      "version former source routes workspaces keys"},
    event_description{event_kind::configuration_unreadable, "configuration_unreadable", error, state_rate,
                      "A configuration can't be read; the previous one stays in force.", "source reason"},
    event_description{event_kind::rollout_ordered, "rollout_ordered", info, state_rate,
                      "A roll-out of a service to another software version was ordered.",
                      "service software duration_ms"},
    event_description{event_kind::rollout_withdrawn, "rollout_withdrawn", info, state_rate,
                      "The order to roll out a service was withdrawn.", "service"},
    event_description{event_kind::rollout_moved, "rollout_moved", info, state_rate,
                      "A roll-out entered another phase; the fields give how many answers of the new version "
                      "were evaluated, and how many of these were bad.",
                      "service software phase answers bad"},
    event_description{event_kind::rollout_not_recorded, "rollout_not_recorded", warning, state_rate,
                      "The state of a roll-out couldn't be recorded in the store, because its row couldn't "
                      "be read or written; this will be retried.",
                      "service reason"},
    event_description{
        event_kind::software_not_recorded, "software_not_recorded", warning, state_rate,
        "The record of the software versions that the services have couldn't be read from the store or "
        "written; this will be retried.",
        "reason"},
    event_description{
        event_kind::software_uncertain, "software_uncertain", info, state_rate,
        "This process may have missed a backend server, and so a software version: for a while, "
        "it doesn't take the version that a service has for the only one.",
        "reason"},
    event_description{event_kind::backend_ready, "backend_ready", info, state_rate,
                      "A backend server accepts requests.",
                      "backend service address slots software start era version"},
    event_description{event_kind::backend_restarted, "backend_restarted", info, state_rate,
                      "A backend server started again under the same id: the requests that ran there were "
                      "aborted, and its recorded state was reset.",
                      "backend start former_start"},
    event_description{event_kind::backend_draining, "backend_draining", info, state_rate,
                      "A backend server is draining: it gets no new requests.", "backend era version"},
    event_description{event_kind::backend_held_back, "backend_held_back", info, state_rate,
                      "A backend server could accept requests but gets none: its software version is being "
                      "rolled out, or was replaced.",
                      "backend service software"},
    event_description{
        event_kind::backend_missed, "backend_missed", info, state_rate,
        "A registration vanished around an outage of the store; the server is retained for a while.",
        "backend"},
    event_description{event_kind::backend_gone, "backend_gone", info, state_rate,
                      "A backend server was removed from the list of known servers.", "backend reason"},
    event_description{event_kind::backend_unreadable, "backend_unreadable", error, state_rate,
                      "A registration describes no usable server; logged once for as long as that stays so.",
                      "backend reason"},
    event_description{event_kind::backend_resting, "backend_resting", warning, state_rate,
                      "A backend server failed requests and gets none during a cooldown.",
                      "backend rest_ms failures failure_share"},
    event_description{event_kind::backend_recovered, "backend_recovered", info, state_rate,
                      "A backend server served a request again after its cooldown.", "backend"},
    event_description{event_kind::engine_memory_exceeded, "engine_memory_exceeded", warning, state_rate,
                      "An engine crashed, or turned requests away, while it held many tokens: the engines of "
                      "its service are given fewer for a while.",
                      "service backend held_tokens limit_tokens"},
    event_description{event_kind::backend_failing, "backend_failing", warning, state_rate,
                      "A backend server loses many of its requests: with `avoid_failing_servers`, other "
                      "servers are preferred.",
                      "backend failure_share"},
    event_description{event_kind::backend_sound, "backend_sound", info, state_rate,
                      "A backend server that was failing serves nearly all of its requests again.",
                      "backend"},
    event_description{event_kind::backend_limit_named, "backend_limit_named", info, state_rate,
                      "A backend server named a rate limit, in requests per second from all gateways, or "
                      "another one than before; `former` is 0 if it had none.",
                      "backend limit former heard_by age_ms"},
    event_description{event_kind::backend_limit_ended, "backend_limit_ended", info, state_rate,
                      "A backend server answered without naming a rate limit; its former limit is over.",
                      "backend former heard_by age_ms"},
    event_description{event_kind::backend_limit_unreadable, "backend_limit_unreadable", warning, state_rate,
                      "A backend server's answer names a rate limit that can't be read; it is ignored.",
                      "backend request value reason"},
    event_description{event_kind::backend_leaving, "backend_leaving", info, state_rate,
                      "A backend server said in an answer that it leaves: it gets no new requests.",
                      "backend heard_by age_ms"},
    event_description{event_kind::backend_backoff, "backend_backoff", info, state_rate,
                      "A backend server turned this gateway away and wants none of its requests for a while.",
                      "backend request pause_ms"},
    event_description{event_kind::backend_crashed, "backend_crashed", warning, state_rate,
                      "A backend server ended without notice while it may have run requests of this gateway; "
                      "`suspects` is the number of requests, and of parts of their prompts, that may have "
                      "caused it.",
                      "backend suspects sign"},
    event_description{
        event_kind::suspect_quarantined, "suspect_quarantined", warning, state_rate,
        "Several servers crashed while they may have run a request, or requests with one part in "
        "their prompts: all gateways refuse such requests for a while. `key` identifies it, "
        "`backend` is the last of these servers.",
        "suspect key crashes backend heard_by for_ms"},
    event_description{event_kind::suspect_cleared, "suspect_cleared", info, state_rate,
                      "A server answered a request that was suspected to crash servers, or that has a "
                      "suspected part: earlier crashes no longer count.",
                      "suspect key heard_by"},
    event_description{
        event_kind::answer_field_unreadable, "answer_field_unreadable", warning, state_rate,
        "A backend server's answer has a field about the server that can't be read; it is ignored.",
        "backend request field value reason"},
    event_description{event_kind::answer_passed_over, "answer_passed_over", warning, state_rate,
                      "A backend server sent bytes that aren't the answer to the request on the connection, "
                      "for instance a second answer to an earlier one; they were passed over.",
                      "backend request answers status"},
    event_description{event_kind::request_field_unreadable, "request_field_unreadable", warning, failure_rate,
                      "A request has a field that can't be read; it is treated as if the field said nothing.",
                      "request field value"},
    event_description{
        event_kind::request_malformed, "request_malformed", warning, failure_rate,
        "A caller sent bytes that are no valid request, sent too many, or sent them too slowly.",
        "error detail bytes"},
    event_description{event_kind::request_placed, "request_placed", info, usual_rate,
                      "A request was granted a slot of a backend server.",
                      "request ticket backend software route workspace tier prompt_tokens expected_tokens "
                      "configuration decided_by waited_ms try"},
    event_description{
        event_kind::stream_resumed, "stream_resumed", info, usual_rate,
        "A stream that broke off goes on at the software version that began it; `known_by` tells how "
        "this process knows the version: the stream broke off within this answer (answer), it is "
        "known here (here), no other version can have begun it (one_version), or another gateway "
        "was asked (other_gateway).",
        "request backend software known_by events total_ms"},
    event_description{event_kind::request_try_failed, "request_try_failed", warning, failure_rate,
                      "A backend server failed a request; the field `next` tells whether the request is sent "
                      "to another server, `sent_before` how many requests its connection had carried before "
                      "(-1: it wasn't sent).",
                      "request backend outcome reason try runs next busy_ms sent_before"},
    event_description{
        event_kind::request_answered, "request_answered", info, usual_rate,
        "A backend server's complete answer was forwarded to the caller. `framed` is false if the "
        "server sent neither a length nor chunks, so that its connection ended the answer.",
        "request status backend route workspace tries waited_ms first_ms to_first_ms target_ms "
        "longest_pause_ms pause_target_ms total_ms events framed"},
    event_description{
        event_kind::request_refused, "request_refused", warning, failure_rate,
        "The gateway answered a request with an error of its own.",
        "request ticket error status reason target route workspace tier configuration decided_by held_ms "
        "tries retry_after_ms"},
    event_description{event_kind::request_cut, "request_cut", warning, failure_rate,
                      "A stream was aborted before its end; the caller can detect that it is incomplete.",
                      "request reason route workspace tries events total_ms"},
    event_description{event_kind::request_abandoned, "request_abandoned", info, usual_rate,
                      "The caller closed its connection before the answer was complete.",
                      "request stage backend total_ms events"},
    event_description{event_kind::slow_caller_cut, "slow_caller_cut", warning, failure_rate,
                      "A caller's connection was ended since it reads its answer too slowly; `reason` tells "
                      "which bound was reached.",
                      "caller reason held unread_ms"},
    event_description{
        event_kind::caller_turned_away, "caller_turned_away", warning, failure_rate,
        "There were as many connections of callers as there may be. The one that had been longest "
        "without a complete request was closed for a new one, or the new one was.",
        "connections"},
    event_description{event_kind::accept_failed, "accept_failed", warning, failure_rate,
                      "A caller's connection couldn't be accepted, most likely since no descriptor is free.",
                      "reason"},
    event_description{
        event_kind::slot_refused, "slot_refused", warning, failure_rate,
        "The coordinator refused to grant a slot to a request: the request needed more of the resource named "
        "by `reason` (seconds of waiting, quota units of a workspace, retries) than was available.",
        "ticket member reason needed available waiting running retry_after_ms"},
    event_description{
        event_kind::retry_budget_used_up, "retry_budget_used_up", warning, state_rate,
        "The process that grants slots refused a retry, since the retry budget of the service allows no more "
        "for now; written once in a window. `by_others` is what other processes have used of the reserve.",
        "service retries allowed by_others"},
};

constexpr bool rows_follow_enumeration() {
    for (std::size_t index = 0; index < descriptions.size(); ++index) {
        if (descriptions[index].kind != static_cast<event_kind>(index)) {
            return false;
        }
    }
    return true;
}

static_assert(rows_follow_enumeration(), "the rows must have the order of the enumeration event_kind");

} // namespace

std::span<const event_description> event_descriptions() noexcept {
    return descriptions;
}

const event_description& describe(event_kind kind) noexcept {
    return descriptions.at(static_cast<std::size_t>(kind));
}

} // namespace borageford::events

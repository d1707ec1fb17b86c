// The table of events.
#include "events/event_kind.hpp"

#include <array>
#include <cstddef>

namespace borageford::events {
namespace {

using enum log::level;

/// Changes of state are few; the bound keeps a flapping dependency from flooding the log.
constexpr double state_rate = 50;
/// Requests that went well: enough to see the usual, at a gateway's usual load all of them.
constexpr double usual_rate = 60;
/// Requests that didn't: every one of them up to several times a gateway's usual load.
constexpr double failure_rate = 300;

constexpr std::array descriptions{
    event_description{event_kind::started, "started", info, state_rate,
                      "The process takes callers' connections.", "settings"},
    event_description{event_kind::settings_reloaded, "settings_reloaded", info, state_rate,
                      "SIGHUP: the settings file was read again.", "settings"},
    event_description{event_kind::settings_refused, "settings_refused", error, state_rate,
                      "The settings file has faults; the former settings stay.", "settings reason"},
    event_description{event_kind::stop_requested, "stop_requested", info, state_rate,
                      "SIGTERM: no longer ready, answers end their connections.", "requests connections"},
    event_description{event_kind::stopped, "stopped", info, state_rate, "The process ends.",
                      "requests_cut connections_cut stopping_ms"},
    event_description{event_kind::store_lost, "store_lost", warning, state_rate,
                      "The store doesn't answer, refuses, or left a question unanswered that was due; "
                      "what is known of the table stays in force.",
                      "table reason"},
    event_description{event_kind::store_regained, "store_regained", info, state_rate,
                      "The store answers again; what changed meanwhile follows.",
                      "table lost_ms era version"},
    event_description{
        event_kind::store_era_changed, "store_era_changed", warning, state_rate,
        "The store came back from an older copy. Servers that are missing from it are kept for a "
        "while, rows older than what was known count once they are written again.",
        "era former held version source missing outdated"},
    event_description{event_kind::peer_asked, "peer_asked", info, state_rate,
                      "Another gateway holds a newer version and was asked for it.",
                      "peer what held_era held offered_era offered"},
    event_description{event_kind::peer_failed, "peer_failed", warning, state_rate,
                      "Another gateway didn't give what it was asked for.", "peer what reason"},
    event_description{event_kind::slot_source_changed, "slot_source_changed", info, state_rate,
                      "Slots come from elsewhere: a coordinator, this process for all, or its own part.",
                      "from to coordinator waiting running"},
    event_description{event_kind::member_attached, "member_attached", info, state_rate,
                      "This process coordinates, and a gateway has begun to ask it for slots.",
                      "member members"},
    event_description{event_kind::member_lost, "member_lost", warning, state_rate,
                      "A gateway that asked for slots fell silent; its slots are free.", "member silent_ms"},
    event_description{event_kind::configuration_in_force, "configuration_in_force", info, state_rate,
                      "A newer configuration is in force here.",
                      "version former source routes workspaces keys"},
    event_description{event_kind::configuration_unreadable, "configuration_unreadable", error, state_rate,
                      "A configuration can't be read; the former one stays in force.", "source reason"},
    event_description{event_kind::rollout_ordered, "rollout_ordered", info, state_rate,
                      "A service is to move to another version of its software.",
                      "service software duration_ms"},
    event_description{event_kind::rollout_withdrawn, "rollout_withdrawn", info, state_rate,
                      "The order to move a service is gone.", "service"},
    event_description{
        event_kind::rollout_moved, "rollout_moved", info, state_rate,
        "A roll-out is in another phase; with the answers of the new version that were judged, and "
        "how many of them were bad.",
        "service software phase answers bad"},
    event_description{event_kind::rollout_not_recorded, "rollout_not_recorded", warning, state_rate,
                      "What became of a roll-out couldn't be written into the store; tried again.",
                      "service reason"},
    event_description{event_kind::backend_ready, "backend_ready", info, state_rate,
                      "A backend server takes work.", "backend service address slots start era version"},
    event_description{event_kind::backend_restarted, "backend_restarted", info, state_rate,
                      "A backend server has started anew under its id: its requests were cut, and nothing "
                      "that was believed of it holds.",
                      "backend start former_start"},
    event_description{event_kind::backend_draining, "backend_draining", info, state_rate,
                      "A backend server leaves: it gets no new work.", "backend era version"},
    event_description{
        event_kind::backend_held_back, "backend_held_back", info, state_rate,
        "A backend server takes work and gets none: its version is being rolled out, or was replaced.",
        "backend service software"},
    event_description{
        event_kind::backend_missed, "backend_missed", info, state_rate,
        "A registration vanished around an outage of the store; the server is kept for a while.", "backend"},
    event_description{event_kind::backend_gone, "backend_gone", info, state_rate,
                      "A backend server is no longer known.", "backend reason"},
    event_description{event_kind::backend_unreadable, "backend_unreadable", error, state_rate,
                      "A registration names no server to use; told once while it stays so.",
                      "backend reason"},
    event_description{event_kind::backend_resting, "backend_resting", warning, state_rate,
                      "A backend server failed requests and gets none for a while.",
                      "backend rest_ms failures failure_share"},
    event_description{event_kind::backend_recovered, "backend_recovered", info, state_rate,
                      "A backend server that rested served a request again.", "backend"},
    event_description{event_kind::request_malformed, "request_malformed", warning, failure_rate,
                      "What a caller sent is no request, too large, or too slow.", "error detail bytes"},
    event_description{event_kind::request_placed, "request_placed", info, usual_rate,
                      "A request was given a slot of a backend server.",
                      "request ticket backend route workspace tier prompt_tokens expected_tokens "
                      "configuration decided_by waited_ms try"},
    event_description{event_kind::request_try_failed, "request_try_failed", warning, failure_rate,
                      "A backend server failed a request; whether it is sent elsewhere follows.",
                      "request backend outcome reason try runs next busy_ms"},
    event_description{event_kind::request_answered, "request_answered", info, usual_rate,
                      "A backend server's answer was passed on whole.",
                      "request status backend route workspace tries waited_ms first_ms to_first_ms target_ms "
                      "longest_pause_ms pause_target_ms total_ms events"},
    event_description{
        event_kind::request_refused, "request_refused", warning, failure_rate,
        "A request got an error of the gateway's own.",
        "request ticket error status reason target route workspace tier configuration decided_by held_ms "
        "tries retry_after_ms"},
    event_description{event_kind::request_cut, "request_cut", warning, failure_rate,
                      "A stream was ended in the middle; its caller can see that it isn't whole.",
                      "request reason route workspace tries events total_ms"},
    event_description{event_kind::request_abandoned, "request_abandoned", info, usual_rate,
                      "The caller closed its connection before its answer was whole.",
                      "request stage backend total_ms events"},
    event_description{
        event_kind::slot_refused, "slot_refused", warning, failure_rate,
        "The coordinator refused a request a slot: it needed more than was available of what the "
        "reason names (seconds of waiting, units of an allowance, repeats).",
        "ticket member reason needed available waiting running retry_after_ms"},
};

constexpr bool rows_follow_enumeration() {
    for (std::size_t index = 0; index < descriptions.size(); ++index) {
        if (descriptions[index].kind != static_cast<event_kind>(index)) {
            return false;
        }
    }
    return true;
}

static_assert(rows_follow_enumeration(), "the table lists the events in the order of the enumeration");

} // namespace

std::span<const event_description> event_descriptions() noexcept {
    return descriptions;
}

const event_description& describe(event_kind kind) noexcept {
    return descriptions.at(static_cast<std::size_t>(kind));
}

} // namespace borageford::events

// Implements the explanation of a request: a verdict, sentences about why it ran where it did, and its steps.
#include "audit/request_description.hpp"

#include "audit/request_history.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace borageford::audit {
namespace {

namespace json = boost::json;

/// Whether the request ran, and with what result: the first thing that an auditor needs to know.
enum class verdict : std::uint8_t { served, ran_and_failed, interrupted, not_run, may_have_run, unknown };

std::string_view to_string(verdict value) {
    switch (value) {
    case verdict::served:
        return "served";
    case verdict::ran_and_failed:
        return "ran_and_failed";
    case verdict::interrupted:
        return "interrupted";
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::unknown:
        break;
    }
    return "unknown";
}

std::string short_name(const dispatch_id& dispatch) {
    constexpr std::size_t shown_digits = 8;
    return dispatch.to_string().substr(2 * 16 - shown_digits);
}

std::string milliseconds_between(time_point from, time_point to) {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(to - from).count();
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f ms", static_cast<double>(micros) / 1000.0);
    return text.data();
}

verdict determine_verdict(const request_history& history) {
    const bool has_run = !history.runs().empty();
    if (history.outcome && history.outcome->what == event::answered) {
        return verdict::served;
    }
    if (history.outcome && (has_run || history.outcome->what == event::failed)) {
        return has_run ? verdict::ran_and_failed : verdict::may_have_run;
    }
    if (has_run) {
        return verdict::interrupted;
    }
    if (history.may_have_run()) {
        return verdict::may_have_run;
    }
    return history.outcome ? verdict::not_run : verdict::unknown;
}

/// Describes why a backend server didn't run the request, for example "pluma-2 refused it as overloaded".
std::string describe_failed_offer(const attempt& offer) {
    std::string out = offer.backend_server;
    if (offer.refusal) {
        out.append(" refused it as ").append(borageford::to_string(*offer.refusal));
        if (!offer.detail.empty()) {
            out.append(" (").append(offer.detail).append(")");
        }
    } else if (offer.was_pushed_out) {
        out += " dropped it from its queue for a request of a higher tier";
    } else if (offer.has_expired) {
        out += " granted it and got no start in time";
    } else if (offer.has_been_withdrawn) {
        out += offer.granted ? " granted it too late" : " had no room for it by then";
    } else if (offer.queued) {
        out += " queued it";
    } else {
        out += " left no record of an answer";
    }
    return out;
}

std::string describe_others(const request_history& history, const attempt* chosen) {
    std::string out;
    for (const auto& offer : history.attempts) {
        if (&offer == chosen || offer.has_run()) {
            continue;
        }
        out.append(out.empty() ? "" : "; ").append(describe_failed_offer(offer));
    }
    return out;
}

std::string describe_choice(const request_history& history, const attempt& chosen) {
    std::string out =
        "It ran on " + chosen.backend_server + " under revision " + std::to_string(chosen.revision);
    if (!chosen.granted) {
        return out + ".";
    }
    const auto since = chosen.offered ? chosen.offered : chosen.queued;
    out += ", which was the first of the backend servers it was offered to with room for it";
    if (since) {
        out += ": " + milliseconds_between(*since, *chosen.granted) + " after the offer";
    }
    const auto others = describe_others(history, &chosen);
    return out + (others.empty() ? "." : ". Elsewhere: " + others + ".");
}

std::string describe_end(const attempt& chosen) {
    if (!chosen.ended) {
        return "No record tells how it ended there.";
    }
    const std::string at = " at " + format_time(*chosen.ended);
    if (chosen.failure) {
        return "It ended there as " + std::string(borageford::to_string(*chosen.failure)) + at + ".";
    }
    return "It ended there in full" + at + ".";
}

std::string describe_outcome(const request_history& history) {
    if (!history.outcome) {
        return history.entry.empty() ? "No entry left a record of it: the entry's process ended before it "
                                       "wrote its records, or "
                                       "they are lost."
                                     : "Entry " + history.entry +
                                           " left no record of the end: it still runs, its last records "
                                           "aren't written yet, or its process ended before they were.";
    }
    const auto& last = *history.outcome;
    const std::string at = " at " + format_time(last.time) + ".";
    const std::string reason = last.reason ? std::string(borageford::to_string(*last.reason)) : "no reason";
    switch (last.what) {
    case event::answered:
        return "The caller had its whole answer" + at;
    case event::refused:
        return "Entry " + history.entry + " refused it as " + reason +
               (last.detail.empty() ? "" : " (" + last.detail + ")") + at;
    case event::failed:
        return "Entry " + history.entry + " told the caller " + reason + at;
    default:
        return "The caller went away" + at;
    }
}

std::vector<std::string> summarize(const request_history& history) {
    std::vector<std::string> out;
    const auto runs = history.runs();
    for (const auto* chosen : runs) {
        out.push_back(describe_choice(history, *chosen));
        out.push_back(describe_end(*chosen));
    }
    const auto result = determine_verdict(history);
    if (result == verdict::not_run) {
        const auto others = describe_others(history, nullptr);
        out.push_back("It did not run." + (others.empty() ? "" : " " + others + "."));
    }
    if (runs.empty() && result == verdict::served) {
        out.emplace_back("It was answered; no record of the sidecar that ran it was found.");
    }
    if (result == verdict::may_have_run) {
        out.emplace_back("It may have run: its start was sent, and no record of the sidecar tells more.");
    }
    if (runs.size() > 1) {
        out.push_back("It ran " + std::to_string(runs.size()) +
                      " times, which must not happen: tell the developers.");
    }
    out.push_back(describe_outcome(history));
    return out;
}

std::string describe_step(const attributed_record& attributed) {
    const auto& audit_record = attributed.audit_record;
    std::string out = format_time(audit_record.time) + " " + attributed.role + " " + attributed.writer +
                      ": " + std::string(to_string(audit_record.what));
    if (attributed.role == "entry" && !audit_record.backend_server.empty()) {
        out += audit_record.what == event::offered ? " to " : " at ";
        out += audit_record.backend_server;
    }
    if (!audit_record.dispatch.is_none()) {
        out += ", dispatch " + short_name(audit_record.dispatch);
    }
    if (audit_record.reason) {
        out.append(", reason ").append(borageford::to_string(*audit_record.reason));
    }
    if (!audit_record.detail.empty()) {
        out += " (" + audit_record.detail + ")";
    }
    return out + ", revision " + std::to_string(audit_record.revision);
}

std::string describe_subject(const request_history& history) {
    std::string out = "Request " + history.request.to_string();
    if (history.workspace.empty()) {
        return out + ": no record was found.";
    }
    out += " of workspace " + history.workspace + ", tier " + std::to_string(history.tier) + ", for " +
           history.target;
    if (history.received) {
        out += ", came in at entry " + history.entry + " at " + format_time(*history.received) +
               " under revision " + std::to_string(history.revision);
    }
    return out + ".";
}

} // namespace

std::string format_time(time_point time) {
    const auto micros = std::chrono::floor<std::chrono::microseconds>(time);
    const auto day = std::chrono::floor<std::chrono::days>(micros);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(micros - day);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return text.data();
}

std::vector<std::string> describe_request(const request_id& request, const search_result& found) {
    const auto history = make_history(request, found);
    std::vector<std::string> out{describe_subject(history)};
    if (!history.records.empty()) {
        const auto summary = summarize(history);
        out.insert(out.end(), summary.begin(), summary.end());
        out.emplace_back("Steps:");
    }
    for (const auto& attributed : history.records) {
        out.push_back("  " + describe_step(attributed));
    }
    for (const auto& remark : found.remarks) {
        out.push_back("Missing: " + remark);
    }
    return out;
}

std::string describe_request_as_json(const request_id& request, const search_result& found) {
    const auto history = make_history(request, found);
    json::array steps;
    for (const auto& attributed : history.records) {
        const auto& audit_record = attributed.audit_record;
        json::object step{{"time", format_time(audit_record.time)},
                          {"role", attributed.role},
                          {"writer", attributed.writer},
                          {"event", to_string(audit_record.what)},
                          {"revision", audit_record.revision}};
        if (!audit_record.dispatch.is_none()) {
            step["dispatch"] = audit_record.dispatch.to_string();
            step["backend_server"] = audit_record.backend_server;
        }
        if (audit_record.reason) {
            step["reason"] = borageford::to_string(*audit_record.reason);
        }
        step["detail"] = audit_record.detail;
        steps.emplace_back(std::move(step));
    }
    json::object out{{"request", request.to_string()},
                     {"workspace", history.workspace},
                     {"tier", history.tier},
                     {"target", history.target},
                     {"verdict", to_string(determine_verdict(history))}};
    out["summary"] =
        history.records.empty() ? json::value(json::array()) : json::value_from(summarize(history));
    out["steps"] = std::move(steps);
    out["remarks"] = json::value_from(found.remarks);
    return json::serialize(out);
}

std::vector<std::string> list_requests(std::string_view workspace, const search_result& found,
                                       std::size_t limit) {
    std::vector<std::string> out;
    std::size_t left_out = 0;
    for (const auto& history : make_histories(found)) {
        if (!workspace.empty() && history.workspace != workspace) {
            continue;
        }
        if (out.size() == limit) {
            ++left_out;
            continue;
        }
        const auto time = history.records.front().audit_record.time;
        std::string line = format_time(time) + " " + history.request.to_string() + " " + history.workspace +
                           " tier " + std::to_string(history.tier) + " " + history.target + ": ";
        line.append(to_string(determine_verdict(history)));
        if (history.outcome && history.outcome->reason) {
            line.append(" (").append(borageford::to_string(*history.outcome->reason)).append(")");
        }
        out.push_back(std::move(line));
    }
    if (left_out > 0) {
        out.push_back(std::to_string(left_out) + " more requests were left out: ask for a shorter time.");
    }
    for (const auto& remark : found.remarks) {
        out.push_back("Missing: " + remark);
    }
    return out;
}

} // namespace borageford::audit

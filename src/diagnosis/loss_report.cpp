// Classifies how requests ended and prints the counts as tables: one row for each route, workspace and time
// window, one column for each way in which a request can end.
#include "diagnosis/loss_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <vector>

namespace borageford::diagnosis {
namespace {

/// Share of the latency target. When a request that waited less than this share for its slot is late, the
/// server counts as the cause, otherwise the wait. The scheduler's limit
/// policy::slot_scheduler_limits::hopeless_wait has the same default.
constexpr double early_share = 0.4;
constexpr int name_width = 24;
constexpr int column_width = 10;

/// The names of one way in which a request can end.
struct end_row {
    request_end end;
    std::string_view name;
    std::string_view heading; ///< of the column in the tables
};

constexpr std::array ends{
    end_row{request_end::in_time, "in_time", "in time"},
    end_row{request_end::late_by_wait, "late_by_wait", "l.waited"},
    end_row{request_end::late_at_server, "late_at_server", "l.server"},
    end_row{request_end::late_by_pause, "late_by_pause", "l.paused"},
    end_row{request_end::refused_load, "refused_load", "r.load"},
    end_row{request_end::refused_limit, "refused_limit", "r.limit"},
    end_row{request_end::refused_server, "refused_server", "r.server"},
    end_row{request_end::refused_memory, "refused_memory", "r.memory"},
    end_row{request_end::refused_caller, "refused_caller", "r.caller"},
    end_row{request_end::failed, "failed", "failed"},
    end_row{request_end::cut, "cut", "cut"},
    end_row{request_end::cut_slow, "cut_slow", "c.slow"},
    end_row{request_end::stream_lost, "stream_lost", "s.lost"},
    end_row{request_end::left, "left", "left"},
};
static_assert(ends.size() == static_cast<std::size_t>(request_end::last_end) + 1);

/// The reason of a request that resumed a stream whose software version has left.
constexpr std::string_view software_gone = "software_gone";

/// The reasons of answers that were aborted because their callers read too slowly.
constexpr std::array<std::string_view, 2> slow_reasons{"the caller reads too slowly",
                                                       "the server ended an answer that remained unread"};

/// How a request ended that was answered completely: in time, or late and why.
request_end classify_answer(const log_record& record) {
    const auto target = record.number("target_ms");
    if (target > 0 && record.number("to_first_ms") > target) {
        const bool was_early =
            static_cast<double>(record.number("waited_ms")) < early_share * static_cast<double>(target);
        return was_early ? request_end::late_at_server : request_end::late_by_wait;
    }
    const auto pause = record.number("pause_target_ms");
    const bool has_paused = pause > 0 && record.number("longest_pause_ms") > pause;
    return has_paused ? request_end::late_by_pause : request_end::in_time;
}

/// How a request ended that the gateway answered with an error of its own.
request_end classify_refusal(const log_record& record) {
    constexpr int first_server_error = 500;
    const auto error = record.text("error");
    if (error == "stream_unknown" || record.text("reason") == software_gone) {
        return request_end::stream_lost;
    }
    if (error == "overloaded" || error == "draining") {
        const auto reason = record.text("reason");
        if (reason == "over_server_limit" || reason == "servers_back_off") {
            return request_end::refused_server;
        }
        if (reason == "over_memory") {
            return request_end::refused_memory;
        }
        return reason == "over_retry_budget" ? request_end::refused_limit : request_end::refused_load;
    }
    if (error == "prompt_too_large") {
        return request_end::refused_memory;
    }
    if (error == "rate_limited" || error == "held_back") {
        return request_end::refused_limit;
    }
    return record.number("status") < first_server_error ? request_end::refused_caller : request_end::failed;
}

/// How a request ended whose answer was aborted for this reason.
request_end classify_cut(std::string_view reason) {
    if (reason == software_gone) {
        return request_end::stream_lost;
    }
    const bool is_slow = std::ranges::find(slow_reasons, reason) != slow_reasons.end();
    return is_slow ? request_end::cut_slow : request_end::cut;
}

} // namespace

std::string_view to_string(request_end end) noexcept {
    const auto found = std::ranges::find(ends, end, &end_row::end);
    return found != ends.end() ? found->name : "unknown";
}

std::optional<request_end> classify(const log_record& record) {
    if (record.event == "request_answered") {
        return classify_answer(record);
    }
    if (record.event == "request_refused") {
        return classify_refusal(record);
    }
    if (record.event == "request_cut") {
        return classify_cut(record.text("reason"));
    }
    if (record.event == "request_abandoned") {
        return request_end::left;
    }
    return std::nullopt;
}

std::uint64_t loss_report::tally::total() const noexcept {
    return std::accumulate(ends.begin(), ends.end(), std::uint64_t(0));
}

void loss_report::add(const log_record& record) {
    const auto end = classify(record);
    if (!end.has_value()) {
        return;
    }
    m_left_out += record.left_out;
    const auto place = static_cast<std::size_t>(*end);
    const auto window = record.time - record.time.time_since_epoch() % m_window;
    const auto name_or = [&record](std::string_view field) {
        const auto text = record.text(field);
        return text.empty() ? std::string("(none)") : text;
    };
    for (auto* row : {&m_all, &m_routes[name_or("route")], &m_workspaces[name_or("workspace")],
                      &m_windows[std::chrono::time_point_cast<log_time::duration>(window)]}) {
        ++row->ends.at(place);
    }
}

void loss_report::print_heading(std::ostream& out, std::string_view what) {
    out << '\n'
        << std::left << std::setw(name_width) << what << std::right << std::setw(column_width) << "requests";
    for (const auto& column : ends) {
        out << std::setw(column_width) << column.heading;
    }
    out << '\n';
}

void loss_report::print_row(std::ostream& out, std::string_view name, const tally& row) {
    out << std::left << std::setw(name_width) << name << std::right << std::setw(column_width) << row.total();
    for (const auto count : row.ends) {
        out << std::setw(column_width) << count;
    }
    out << '\n';
}

void loss_report::print_table(std::ostream& out, std::string_view what, const tallies& rows) {
    print_heading(out, what);
    for (const auto& [name, row] : rows) {
        print_row(out, name, row);
    }
}

void loss_report::print(std::ostream& out) const {
    out << "l.: late, by a wait for a slot, at the server, or by a pause between events; r.: refused, for "
           "load,\n"
           "for a limit of the workspace or of repeats, for the servers' rate limits, or for what the caller "
           "sent;\n"
           "c.slow: aborted because the caller read too slowly\n";
    print_heading(out, "");
    print_row(out, "all", m_all);
    print_table(out, "route", m_routes);
    print_table(out, "workspace", m_workspaces);
    print_heading(out, "from second");
    for (const auto& [time, row] : m_windows) {
        const auto since = std::chrono::duration_cast<std::chrono::seconds>(time - m_windows.begin()->first);
        print_row(out, std::to_string(since.count()), row);
    }
    if (m_left_out > 0) {
        out << "\nnot counted: " << m_left_out << " requests whose lines were over their kinds' bounds\n";
    }
}

} // namespace borageford::diagnosis

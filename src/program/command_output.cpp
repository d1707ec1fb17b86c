// Formats the JSON responses of the administration API as tables and sentences.
#include "program/command_output.hpp"

#include "base/error_kind.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>

namespace borageford::program {
namespace {

namespace json = boost::json;

constexpr unsigned first_error_status = 300;
// Widths of table columns, in characters.
constexpr int wide_column = 24;
constexpr int narrow_column = 12;

/// The value of a member as text; "-" when it is missing or null.
std::string text_of(const json::value& from, std::string_view key) {
    const auto* found = from.as_object().if_contains(key);
    if (found == nullptr || found->is_null()) {
        return "-";
    }
    if (found->is_string()) {
        return json::value_to<std::string>(*found);
    }
    if (found->is_double()) {
        const auto tenths = std::llround(found->as_double() * 10);
        return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
    }
    if (found->is_bool()) {
        return found->as_bool() ? "yes" : "no";
    }
    return json::serialize(*found);
}

/// The texts of an array, separated by commas.
std::string joined(const json::value& from, std::string_view key) {
    std::string text;
    for (const auto& item : from.at(key).as_array()) {
        text += (text.empty() ? "" : ", ") + json::value_to<std::string>(item);
    }
    return text;
}

/// Prints one row of a table; the first column is wider than the following ones.
void print_row(std::initializer_list<std::string> cells) {
    int width = wide_column;
    for (const auto& cell : cells) {
        std::cout << std::left << std::setw(width) << cell << ' ';
        width = narrow_column;
    }
    std::cout << '\n';
}

void print_problems(const json::value& error) {
    const auto* problems = error.as_object().if_contains("problems");
    if (problems == nullptr) {
        return;
    }
    for (const auto& problem : problems->as_array()) {
        std::cerr << "  " << text_of(problem, "file") << ':' << text_of(problem, "line") << ": "
                  << text_of(problem, "key") << ": expected " << text_of(problem, "expected") << '\n';
    }
}

/// The exit code for an error that the API reported.
exit_code exit_code_for(error_kind kind) {
    switch (kind) {
    case error_kind::plan_conflict:
        return exit_code::conflict;
    case error_kind::plan_invalid:
    case error_kind::bad_request:
    case error_kind::not_found:
        return exit_code::wrong_input;
    case error_kind::outcome_unknown:
        return exit_code::outcome_unknown;
    default:
        return exit_code::failed;
    }
}

exit_code print_error(const std::string& body) {
    const auto error = json::parse(body).at("error");
    const auto kind = text_of(error, "kind");
    std::cerr << "borageford: " << kind << ": " << text_of(error, "message") << '\n';
    print_problems(error);
    std::cerr << "  " << text_of(error, "remedy") << '\n';
    return exit_code_for(find_error_kind(kind).value_or(error_kind::internal));
}

/// Prints on which nodes a change is in force.
void print_spread(const json::value& spread) {
    if (spread.at("everywhere").as_bool()) {
        std::cout << "in force on all " << text_of(spread, "nodes") << " live nodes after "
                  << text_of(spread, "milliseconds") << " ms\n";
    } else {
        std::cout << "not seen in force after " << text_of(spread, "milliseconds")
                  << " ms on: " << joined(spread, "behind") << '\n';
    }
}

/// Whether the response says that the change isn't in force on all nodes yet.
bool is_behind(const std::string& body) {
    const auto parsed = json::parse(body);
    const auto* spread = parsed.as_object().if_contains("in_force");
    return spread != nullptr && !spread->at("everywhere").as_bool();
}

} // namespace

exit_code print_answer(const http::response& answer, const command_flags& flags, text_printer print) {
    const bool is_error = answer.head.status >= first_error_status;
    try {
        if (flags.json) {
            std::cout << answer.body;
        }
        if (is_error) {
            return print_error(answer.body);
        }
        if (!flags.json) {
            print(answer.body);
        }
        // With --wait, exit code 0 would tell the operator that the change is in force everywhere.
        return flags.wait && is_behind(answer.body) ? exit_code::not_everywhere : exit_code::done;
    } catch (const std::exception& error) {
        std::cerr << "borageford: the answer of status " << answer.head.status
                  << " isn't one of an entry: " << error.what() << '\n';
        return exit_code::failed;
    }
}

void print_plan(const std::string& body) {
    const auto plan = json::parse(body);
    std::cout << "plan " << text_of(plan, "plan") << " on revision " << text_of(plan, "base") << '\n';
    const auto& changes = plan.at("changes").as_array();
    if (changes.empty()) {
        std::cout << "  nothing would change\n";
    }
    for (const auto& line : changes) {
        std::cout << "  " << json::value_to<std::string>(line) << '\n';
    }
    for (const auto& line : plan.at("warnings").as_array()) {
        std::cout << "  WARNING: " << json::value_to<std::string>(line) << '\n';
    }
    std::cout << "Nothing has changed yet. To put it in force: borageford confirm " << text_of(plan, "plan")
              << " --wait\n";
}

void print_commit(const std::string& body) {
    const auto commit = json::parse(body);
    std::cout << "revision " << text_of(commit, "revision") << ' '
              << (text_of(commit, "state") == "accepted" ? "accepted" : "had been accepted already, at ")
              << (text_of(commit, "state") == "accepted" ? "" : text_of(commit, "time")) << '\n';
    for (const auto& line : commit.at("warnings").as_array()) {
        std::cout << "  WARNING: " << json::value_to<std::string>(line) << '\n';
    }
    if (const auto* spread = commit.as_object().if_contains("in_force")) {
        print_spread(*spread);
    }
}

void print_revisions(const std::string& body) {
    const auto answer = json::parse(body);
    print_row({"time", "revision", "operator", "plan"});
    for (const auto& revision : answer.at("revisions").as_array()) {
        print_row({text_of(revision, "time"), text_of(revision, "revision"), text_of(revision, "operator"),
                   text_of(revision, "plan")});
    }
}

void print_revision(const std::string& body) {
    const auto revision = json::parse(body);
    std::cout << "; revision " << text_of(revision, "revision") << " by " << text_of(revision, "operator")
              << " at " << text_of(revision, "time") << '\n'
              << text_of(revision, "text");
}

void print_status(const std::string& body) {
    const auto status = json::parse(body);
    std::cout << "entry " << text_of(status, "entry") << " holds revision " << text_of(status, "revision")
              << "; the platform is " << text_of(status, "platform");
    if (status.as_object().contains("head")) {
        std::cout << ", its head is revision " << text_of(status, "head");
    }
    std::cout << '\n';
    if (const auto* spread = status.as_object().if_contains("in_force")) {
        std::cout << "revision " << text_of(*spread, "revision") << ": ";
        print_spread(*spread);
    }
    print_row({"vm", "role", "state", "revision", "domain"});
    for (const auto& node : status.at("nodes").as_array()) {
        print_row({text_of(node, "vm"), text_of(node, "role"), text_of(node, "state"),
                   node.at("reached").as_bool() ? text_of(node, "revision") : "not reached",
                   text_of(node, "failure_domain")});
    }
}

void print_servers(const std::string& body) {
    const auto answer = json::parse(body);
    print_row({"backend server", "kind", "domain", "drained", "connected", "running", "queued", "wait ms"});
    for (const auto& server : answer.at("backend_servers").as_array()) {
        print_row({text_of(server, "name"), text_of(server, "kind"), text_of(server, "failure_domain"),
                   text_of(server, "drained"), text_of(server, "connected"),
                   text_of(server, "running_sequences"), text_of(server, "queued_requests"),
                   text_of(server, "expected_wait_ms")});
    }
}

void print_limits(const std::string& body) {
    const auto answer = json::parse(body);
    print_row({"workspace", "tier", "requests/s", "in use", "tokens/s", "in use", "concurrent", "in use"});
    for (const auto& item : answer.at("workspaces").as_array()) {
        const auto& requests = item.at("requests_per_second");
        const auto& tokens = item.at("tokens_per_second");
        const auto& concurrent = item.at("concurrent_requests");
        print_row({text_of(item, "workspace"), text_of(item, "tier"), text_of(requests, "limit"),
                   text_of(requests, "in_use"), text_of(tokens, "limit"), text_of(tokens, "in_use"),
                   text_of(concurrent, "limit"), text_of(concurrent, "in_use")});
    }
}

void print_quarantine(const std::string& body) {
    const auto answer = json::parse(body);
    print_row({"fingerprint", "quarantined", "backend servers that died"});
    for (const auto& request : answer.at("requests").as_array()) {
        print_row({text_of(request, "fingerprint"), text_of(request, "quarantined"),
                   joined(request, "backend_servers")});
    }
}

void print_release(const std::string& body) {
    std::cout << "released " << text_of(json::parse(body), "released") << "; it may run again\n";
}

void print_explanation(const std::string& body) {
    const auto answer = json::parse(body);
    for (const auto& line : answer.at("lines").as_array()) {
        std::cout << json::value_to<std::string>(line) << '\n';
    }
}

} // namespace borageford::program

// Builds the JSON bodies of the administration API's responses.
#include "admin/answers.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::admin {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
/// A request is refused (quarantined) once crash marks from this many backend servers exist for it.
constexpr std::size_t quarantine_marks = 2;

http::response json_answer(unsigned status, const json::value& body) {
    return http::make_response(status, "application/json", json::serialize(body) + "\n");
}

json::object error_fields(error_kind kind, std::string_view message) {
    const auto& row = answer_for(kind);
    return {{"kind", row.name},
            {"message", message},
            {"remedy", remedy_for(kind)},
            {"retry", to_string(row.retry)}};
}

json::object describe(const configuration::revision_row& revision) {
    return {{"revision", revision.revision},
            {"plan", revision.plan},
            {"operator", revision.operator_name},
            {"time", revision.time}};
}

json::object describe(const configuration::spread_row& spread) {
    json::object object{{"revision", spread.revision},
                        {"everywhere", spread.behind.empty()},
                        {"nodes", spread.nodes},
                        {"milliseconds", spread.milliseconds}};
    object["behind"] = json::value_from(spread.behind);
    return object;
}

json::object describe(const node_revision& node) {
    json::object object{{"vm", node.vm},
                        {"role", node.role},
                        {"failure_domain", node.failure_domain},
                        {"state", node.is_leaving ? "leaving" : "live"},
                        {"reached", node.revision.has_value()}};
    if (node.revision) {
        object["revision"] = *node.revision;
    }
    if (!node.backend_server.empty()) {
        object["backend_server"] = node.backend_server;
    }
    return object;
}

json::object describe(const configuration::backend_server& server) {
    json::object object{{"name", server.name},
                        {"kind", server.kind == configuration::backend_kind::engine ? "engine" : "service"},
                        {"failure_domain", server.failure_domain},
                        {"slots", server.slots},
                        {"drained", server.drained}};
    object["models"] = json::value_from(server.models);
    object["services"] = json::value_from(server.services);
    return object;
}

void add_state(json::object& object, const backend_server_state& state) {
    object["connected"] = state.is_connected;
    object["leaving"] = state.is_leaving;
    if (!state.report_age) {
        return;
    }
    object["report_age_ms"] = state.report_age->count();
    object["queued_requests"] = state.queued_requests;
    object["running_sequences"] = state.running_sequences;
    object["sequence_limit"] = state.sequence_limit;
    object["prefill_tokens_per_second"] = state.prefill_tokens_per_second;
    object["output_tokens_per_second"] = state.output_tokens_per_second;
    object["expected_wait_ms"] = state.expected_wait.count();
}

json::object limit_and_use(double limit, double use) {
    return {{"limit", limit == 0 ? json::value(nullptr) : json::value(limit)}, {"in_use", use}};
}

} // namespace

std::string_view remedy_for(error_kind kind) noexcept {
    switch (kind) {
    case error_kind::bad_request:
    case error_kind::method_not_allowed:
        return "See docs/ADMINISTRATION.md for what this call takes.";
    case error_kind::unauthorized:
        return "Send the operators' token: BORAGEFORD_TOKEN or --token-file; its SHA-256 is the entry's "
               "setting admin_token_sha256.";
    case error_kind::not_found:
        return "Check the name or number; `revisions`, `servers` and `quarantine` list what there is.";
    case error_kind::plan_conflict:
        return "Read what came between with `show`, make a new plan on top of it, and confirm that.";
    case error_kind::plan_invalid:
        return "Correct every line named in `problems` and plan again.";
    case error_kind::platform_unavailable:
        return "Nothing was changed. Try again once the platform answers; `status` shows when it does.";
    case error_kind::outcome_unknown:
        return "Send the same call again: a plan is accepted once, however often it is confirmed.";
    case error_kind::no_configuration:
        return "Plan and confirm a first intent.";
    default:
        return "Try another entry; if it persists, read this entry's log.";
    }
}

http::response error_answer(const request_error& error) {
    return json_answer(answer_for(error.kind()).http_status,
                       json::object{{"error", error_fields(error.kind(), error.what())}});
}

http::response problems_answer(const std::vector<settings::problem>& problems) {
    json::array list;
    for (const auto& problem : problems) {
        list.push_back({{"file", problem.file},
                        {"line", problem.line},
                        {"key", problem.key},
                        {"expected", problem.expected}});
    }
    auto fields = error_fields(error_kind::plan_invalid,
                               "the intent has " + std::to_string(problems.size()) + " errors");
    fields["problems"] = std::move(list);
    return json_answer(answer_for(error_kind::plan_invalid).http_status,
                       json::object{{"error", std::move(fields)}});
}

http::response plan_answer(const configuration::plan& what) {
    json::object object{
        {"plan", what.id}, {"base", what.base}, {"operator", what.operator_name}, {"time", what.time}};
    object["changes"] = json::value_from(what.changes);
    object["warnings"] = json::value_from(what.warnings);
    return json_answer(status_ok, object);
}

http::response commit_answer(const confirm_result& result) {
    const auto& revision = result.commit.revision;
    if (result.commit.verdict == configuration::commit_verdict::conflict) {
        auto fields = error_fields(error_kind::plan_conflict,
                                   "revision " + std::to_string(revision.revision) + " by " +
                                       revision.operator_name + " at " + revision.time + " came between");
        fields["came_between"] = describe(revision);
        return json_answer(answer_for(error_kind::plan_conflict).http_status,
                           json::object{{"error", std::move(fields)}});
    }
    auto object = describe(revision);
    const bool is_new = result.commit.verdict == configuration::commit_verdict::accepted;
    object["state"] = is_new ? "accepted" : "already_accepted";
    object["warnings"] = json::value_from(result.warnings);
    if (result.spread) {
        object["in_force"] = describe(*result.spread);
    }
    return json_answer(status_ok, object);
}

http::response revisions_answer(const std::vector<configuration::revision_row>& revisions) {
    json::array list;
    for (const auto& revision : revisions) {
        list.push_back(describe(revision));
    }
    return json_answer(status_ok, json::object{{"revisions", std::move(list)}});
}

http::response revision_answer(const configuration::revision_row& revision) {
    auto object = describe(revision);
    object["text"] = revision.text;
    return json_answer(status_ok, object);
}

http::response status_answer(const system_status& status) {
    json::array nodes;
    for (const auto& node : status.nodes) {
        nodes.push_back(describe(node));
    }
    json::object object{{"entry", status.entry},
                        {"revision", status.held},
                        {"platform", status.head ? "reachable" : "unreachable"}};
    if (status.head) {
        object["head"] = *status.head;
    }
    object["nodes"] = std::move(nodes);
    if (status.spread) {
        object["in_force"] = describe(*status.spread);
    }
    return json_answer(status_ok, object);
}

http::response servers_answer(const configuration::configuration& current,
                              const std::vector<backend_server_state>& states) {
    json::array list;
    for (const auto& server : current.backend_servers) {
        auto object = describe(server);
        const auto state = std::ranges::find(states, server.name, &backend_server_state::name);
        if (state != states.end()) {
            add_state(object, *state);
        }
        list.push_back(std::move(object));
    }
    return json_answer(status_ok,
                       json::object{{"revision", current.revision}, {"backend_servers", std::move(list)}});
}

http::response limits_answer(const configuration::configuration& current,
                             const std::vector<configuration::workspace_use>& use) {
    json::array list;
    for (const auto& item : current.workspaces) {
        const auto found = std::ranges::find(use, item.name, &configuration::workspace_use::workspace);
        const auto now = found == use.end() ? configuration::workspace_use() : *found;
        json::object object{{"workspace", item.name}, {"tier", item.tier}};
        object["requests_per_second"] = limit_and_use(item.requests_per_second, now.requests_per_second);
        object["tokens_per_second"] = limit_and_use(item.tokens_per_second, now.tokens_per_second);
        object["concurrent_requests"] = limit_and_use(item.concurrent_requests, now.concurrent_requests);
        list.push_back(std::move(object));
    }
    return json_answer(status_ok,
                       json::object{{"revision", current.revision}, {"workspaces", std::move(list)}});
}

http::response quarantine_answer(const std::vector<marked_request>& requests) {
    json::array list;
    for (const auto& request : requests) {
        json::object object{{"fingerprint", request.fingerprint},
                            {"quarantined", request.backend_servers.size() >= quarantine_marks},
                            {"last_time_ms", request.last_time}};
        object["backend_servers"] = json::value_from(request.backend_servers);
        list.push_back(std::move(object));
    }
    return json_answer(status_ok, json::object{{"requests", std::move(list)}});
}

http::response released_answer(std::string_view fingerprint) {
    return json_answer(status_ok, json::object{{"released", fingerprint}});
}

http::response explanation_answer(const explanation& what) {
    json::object object;
    object["lines"] = json::value_from(what.lines);
    if (!what.document.empty()) {
        object["request"] = json::parse(what.document);
    }
    return json_answer(status_ok, object);
}

} // namespace borageford::admin

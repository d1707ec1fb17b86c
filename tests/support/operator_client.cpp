// Sends calls to an entry's administration API and reads their JSON answers.
#include "support/operator_client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>
#include <utility>

namespace borageford::test {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;

std::string text_at(const json::value& from, const char* key) {
    return json::value_to<std::string>(from.at(key));
}

} // namespace

operator_client::operator_client(http::endpoint entry, std::string name)
    : m_entry(std::move(entry)), m_name(std::move(name)) {}

http::request operator_client::make_call(const std::string& method, const std::string& target,
                                         const std::string& body) const {
    return {method, target, {{"Authorization", "Bearer operator-token"}, {"X-Operator", m_name}}, body};
}

std::string operator_client::expect_success(const http::request& request) const {
    const auto answer = call(m_entry, request);
    if (answer.status != status_ok) {
        throw std::runtime_error(request.target + " was answered " + std::to_string(answer.status) + " " +
                                 answer.body + answer.error);
    }
    return answer.body;
}

std::string operator_client::plan(const std::string& intent) const {
    return text_at(json::parse(expect_success(make_call("POST", "/admin/plans", intent))), "plan");
}

std::unique_ptr<pending_call> operator_client::begin_confirm(const std::string& plan_id) const {
    return std::make_unique<pending_call>(m_entry, make_call("POST", "/admin/plans/" + plan_id + "/confirm"));
}

confirm_answer operator_client::confirm(const std::string& plan_id, const std::string& wait) const {
    const auto query = wait.empty() ? std::string() : "?wait=" + wait;
    return read_confirm(call(m_entry, make_call("POST", "/admin/plans/" + plan_id + "/confirm" + query)));
}

confirm_answer operator_client::drain(const std::string& backend_server, const std::string& wait) const {
    return read_confirm(
        call(m_entry, make_call("POST", "/admin/backend_servers/" + backend_server + "/drain?wait=" + wait)));
}

confirm_answer operator_client::read_confirm(const caller_result& answer) {
    confirm_answer result;
    result.status = answer.status;
    const auto body = json::parse(answer.body);
    if (answer.status != status_ok) {
        const auto& error = body.at("error");
        result.kind = text_at(error, "kind");
        if (const auto* between = error.as_object().if_contains("came_between")) {
            result.came_between = text_at(*between, "operator");
            result.revision = between->at("revision").to_number<std::uint64_t>();
        }
        return result;
    }
    result.state = text_at(body, "state");
    result.revision = body.at("revision").to_number<std::uint64_t>();
    if (const auto* spread = body.as_object().if_contains("in_force")) {
        result.is_everywhere = spread->at("everywhere").as_bool();
        result.milliseconds = spread->at("milliseconds").to_number<std::uint64_t>();
        result.behind = json::value_to<std::vector<std::string>>(spread->at("behind"));
    }
    return result;
}

std::string operator_client::text_of(std::uint64_t revision) const {
    const auto target = "/admin/revisions/" + std::to_string(revision);
    return text_at(json::parse(expect_success(make_call("GET", target))), "text");
}

std::size_t operator_client::count_revisions() const {
    const auto body = json::parse(expect_success(make_call("GET", "/admin/revisions?limit=200")));
    return body.at("revisions").as_array().size();
}

std::vector<node_line> operator_client::status() const {
    const auto body = json::parse(expect_success(make_call("GET", "/admin/status")));
    std::vector<node_line> nodes;
    for (const auto& node : body.at("nodes").as_array()) {
        const bool is_reached = node.at("reached").as_bool();
        nodes.push_back({text_at(node, "vm"), is_reached,
                         is_reached ? node.at("revision").to_number<std::uint64_t>() : 0});
    }
    return nodes;
}

std::uint64_t operator_client::current_revision() const {
    const auto body = json::parse(expect_success(make_call("GET", "/admin/status")));
    return body.at("revision").to_number<std::uint64_t>();
}

} // namespace borageford::test

// Executes orders given as JSON and describes the engine's models, adapters and role.
#include "fakes/engine_orders.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace borageford::test {

namespace json = boost::json;

namespace {

json::array describe(const std::map<std::string, std::string>& versions) {
    json::array out;
    for (const auto& [name, version] : versions) {
        out.emplace_back(json::object{{"name", name}, {"version", version}});
    }
    return out;
}

std::string text_in(const json::object& order, std::string_view name) {
    const auto* found = order.if_contains(json::string_view(name.data(), name.size()));
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

} // namespace

engine_orders::engine_orders(std::string_view models, bool checks_fencing)
    : m_checks_fencing(checks_fencing) {
    while (!models.empty()) {
        const auto item = models.substr(0, models.find(','));
        const auto at = item.find('@');
        const auto version = at == std::string_view::npos ? std::string_view("1") : item.substr(at + 1);
        m_models[std::string(item.substr(0, at))] = std::string(version);
        models.remove_prefix(std::min(models.size(), item.size() + 1));
    }
}

http::response engine_orders::execute(std::string_view text) {
    const auto parsed = json::parse(json::string_view(text.data(), text.size()));
    auto order = parsed.as_object();
    const auto number = order.at("fencing").to_number<std::uint64_t>();
    const bool is_refused = m_checks_fencing && number < m_fencing;
    order["obeyed"] = !is_refused;
    m_received.emplace_back(order);
    if (is_refused) {
        return json_response(409, R"({"error":"stale_fencing","fencing":)" + std::to_string(m_fencing) + "}");
    }
    m_fencing = std::max(m_fencing, number);
    const auto kind = text_in(order, "kind");
    const auto name = text_in(order, "name");
    if (kind == "load_model") {
        m_models[name] = text_in(order, "version");
    } else if (kind == "unload_model") {
        m_models.erase(name);
    } else if (kind == "load_adapter") {
        m_adapters[name] = text_in(order, "version");
    } else if (kind == "unload_adapter") {
        m_adapters.erase(name);
    } else if (kind == "set_role") {
        m_role = name;
    } else {
        return error_response(400, "unknown_order");
    }
    return json_response(200, "{}");
}

std::string engine_orders::describe_state() const {
    json::object out;
    out["models"] = describe(m_models);
    out["adapters"] = describe(m_adapters);
    out["role"] = m_role;
    out["fencing"] = m_fencing;
    return json::serialize(out);
}

} // namespace borageford::test

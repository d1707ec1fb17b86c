// Implements the table's transactions and reads on JSON.
#include "fakes/platform_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace borageford::test {

namespace json = boost::json;

namespace {

json::object describe(const std::string& key, const table_row& row) {
    json::object out;
    out["key"] = key;
    out["value"] = row.value;
    out["version"] = row.version;
    return out;
}

const json::array& list_of(const json::object& call, std::string_view name) {
    static const json::array none;
    const auto* found = call.if_contains(json::string_view(name.data(), name.size()));
    return found == nullptr ? none : found->as_array();
}

} // namespace

platform_table::outcome platform_table::transact(std::string_view text) {
    const auto parsed = json::parse(json::string_view(text.data(), text.size()));
    const auto& call = parsed.as_object();
    json::array failed;
    for (const auto& condition : list_of(call, "conditions")) {
        const std::string key(condition.at("key").as_string());
        const auto found = m_rows.find(key);
        const auto held = found == m_rows.end() ? 0 : found->second.version;
        if (held != condition.at("version").to_number<std::uint64_t>()) {
            failed.emplace_back(key);
        }
    }
    if (!failed.empty()) {
        return {409, json::serialize(json::object{{"failed", failed}}), 0};
    }
    ++m_version;
    std::uint64_t written = 0;
    for (const auto& put : list_of(call, "puts")) {
        m_rows[std::string(put.at("key").as_string())] = {std::string(put.at("value").as_string()),
                                                          m_version};
        ++written;
    }
    for (const auto& key : list_of(call, "deletes")) {
        m_rows.erase(std::string(key.as_string()));
        ++written;
    }
    return {200, json::serialize(json::object{{"version", m_version}}), written};
}

platform_table::outcome platform_table::read_row(std::string_view key) const {
    const auto found = readable().find(key);
    if (found == readable().end()) {
        return {404, R"({"error":"no_such_row"})", 0};
    }
    return {200, json::serialize(describe(found->first, found->second)), 0};
}

platform_table::outcome platform_table::scan(std::string_view prefix, std::string_view after,
                                             std::size_t limit) const {
    json::array found;
    auto row = after < prefix ? readable().lower_bound(prefix) : readable().upper_bound(after);
    for (; row != readable().end() && found.size() < limit && row->first.starts_with(prefix); ++row) {
        found.emplace_back(describe(row->first, row->second));
    }
    return {200, json::serialize(json::object{{"rows", found}}), 0};
}

void platform_table::set_stale_reads(bool stale) {
    if (stale && !m_is_stale) {
        m_stale_rows = m_rows;
    }
    m_is_stale = stale;
}

} // namespace borageford::test

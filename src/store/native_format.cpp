// Encodes and decodes the table's calls as JSON over HTTP, in the project's own format.
#include "store/native_format.hpp"

#include "store/store_call.hpp"

#include <boost/json.hpp>

#include <utility>

namespace borageford::store {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

row decode_row(const json::value& from) {
    return {json::value_to<std::string>(from.at("key")), json::value_to<std::string>(from.at("value")),
            from.at("version").to_number<std::uint64_t>()};
}

} // namespace

http::request native_format::encode_transaction(const transaction& changes) const {
    json::array conditions;
    for (const auto& entry : changes.conditions) {
        conditions.push_back({{"key", entry.key}, {"version", entry.version}});
    }
    json::array puts;
    for (const auto& entry : changes.puts) {
        puts.push_back({{"key", entry.key}, {"value", entry.value}});
    }
    json::object body{{"conditions", std::move(conditions)}, {"puts", std::move(puts)}};
    body["deletes"] = json::value_from(changes.deletes);
    return {"POST", "/table/transact", {{"Content-Type", "application/json"}}, json::serialize(body)};
}

std::optional<transaction_result> native_format::decode_transaction(const transaction&,
                                                                    const http::response& answer) const {
    if (answer.head.status != status_ok && answer.head.status != status_conflict) {
        return std::nullopt;
    }
    const auto body = json::parse(answer.body);
    transaction_result result;
    result.committed = answer.head.status == status_ok;
    if (result.committed) {
        result.version = body.at("version").to_number<std::uint64_t>();
    } else {
        result.failed_keys = json::value_to<std::vector<std::string>>(body.at("failed"));
    }
    return result;
}

http::request native_format::encode_read(std::string_view key) const {
    return {"GET", "/table/row?key=" + encode_for_target(key), {}, ""};
}

bool native_format::decode_read(const http::response& answer, std::optional<row>& found) const {
    if (answer.head.status == status_ok) {
        found = decode_row(json::parse(answer.body));
    }
    return answer.head.status == status_ok || answer.head.status == status_not_found;
}

http::request native_format::encode_scan(std::string_view prefix, std::string_view after,
                                         std::size_t limit) const {
    return {"GET",
            "/table/scan?prefix=" + encode_for_target(prefix) + "&after=" + encode_for_target(after) +
                "&limit=" + std::to_string(limit),
            {},
            ""};
}

std::optional<row_page> native_format::decode_scan(std::string_view, const http::response& answer) const {
    if (answer.head.status != status_ok) {
        return std::nullopt;
    }
    row_page page;
    const auto body = json::parse(answer.body);
    for (const auto& entry : body.at("rows").as_array()) {
        page.rows.push_back(decode_row(entry));
    }
    return page;
}

} // namespace borageford::store

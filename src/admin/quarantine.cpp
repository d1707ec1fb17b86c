// Rows of marks, read and removed.
#include "admin/quarantine.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view mark_prefix = "mark/";
constexpr std::size_t page = 500;
constexpr unsigned release_attempts = 5;

marked_request decode(const platform::row& row) {
    marked_request request;
    request.fingerprint = row.key.substr(mark_prefix.size());
    try {
        const auto value = json::parse(row.value);
        for (const auto& mark : value.at("marks").as_array()) {
            request.backend_servers.push_back(json::value_to<std::string>(mark.at("backend_server")));
            request.last_time = std::max(request.last_time, mark.at("time").to_number<std::int64_t>());
        }
    } catch (const std::exception&) {
        // A row that can't be read is shown without its servers, so that an operator can still release it.
        request.backend_servers.clear();
    }
    return request;
}

} // namespace

asio::awaitable<std::vector<marked_request>> list_marked_requests(platform::table& table) {
    std::vector<marked_request> requests;
    std::string after;
    while (true) {
        const auto rows = co_await table.scan(mark_prefix, after, page);
        for (const auto& row : rows) {
            requests.push_back(decode(row));
        }
        if (rows.size() < page) {
            co_return requests;
        }
        after = rows.back().key;
    }
}

asio::awaitable<bool> release_request(platform::table& table, std::string fingerprint) {
    const auto key = std::string(mark_prefix) + fingerprint;
    for (unsigned attempt = 0; attempt < release_attempts; ++attempt) {
        const auto row = co_await table.read(key);
        if (!row) {
            co_return false;
        }
        // A mark that comes between the read and the release isn't one that the operator has seen.
        platform::transaction changes;
        changes.conditions.push_back({key, row->version});
        changes.deletes.push_back(key);
        const auto result = co_await table.transact(changes);
        if (result.committed) {
            co_return true;
        }
    }
    throw platform::platform_error(platform::effect::none,
                                   "the marks of " + fingerprint + " kept changing; try again");
}

} // namespace borageford::admin

// Reads and deletes the rows of crash marks in the table.
#include "admin/quarantine.hpp"

#include "marks/crash_mark.hpp"

#include <algorithm>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
namespace {

constexpr std::size_t page_size = 500;
constexpr unsigned release_attempts = 5;

marked_request decode(const store::row& row) {
    marked_request request;
    request.fingerprint = row.key.substr(marks::key_prefix.size());
    try {
        for (const auto& mark : marks::decode_row(row.value)) {
            request.backend_servers.push_back(mark.backend_server);
            request.last_time = std::max(request.last_time, mark.time);
        }
    } catch (const std::invalid_argument&) {
        // A row that can't be decoded is listed without its servers, so that an operator can still release
        // the request.
        request.backend_servers.clear();
    }
    return request;
}

} // namespace

asio::awaitable<std::vector<marked_request>> list_marked_requests(store::table& table) {
    std::vector<marked_request> requests;
    std::string after;
    while (true) {
        const auto rows = co_await table.scan(marks::key_prefix, after, page_size);
        for (const auto& row : rows) {
            requests.push_back(decode(row));
        }
        if (rows.size() < page_size) {
            co_return requests;
        }
        after = rows.back().key;
    }
}

asio::awaitable<bool> release_request(store::table& table, std::string fingerprint) {
    const auto key = std::string(marks::key_prefix) + fingerprint;
    for (unsigned attempt = 0; attempt < release_attempts; ++attempt) {
        const auto row = co_await table.read(key);
        if (!row) {
            co_return false;
        }
        // The condition makes the deletion fail if a mark was added after the read, because the operator
        // hasn't seen that mark.
        store::transaction changes;
        changes.conditions.push_back({key, row->version});
        changes.deletes.push_back(key);
        const auto result = co_await table.transact(changes);
        if (result.committed) {
            co_return true;
        }
    }
    throw store::store_error(store::effect::none,
                             "the marks of " + fingerprint + " kept changing; try again");
}

} // namespace borageford::admin

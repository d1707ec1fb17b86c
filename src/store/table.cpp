// The table's calls as JSON over HTTP.
#include "store/table.hpp"

#include "store/store_call.hpp"

#include <boost/json.hpp>

#include <utility>

namespace borageford::store {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

std::string encode(const transaction& changes) {
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
    return json::serialize(body);
}

row decode_row(const json::value& from) {
    return {json::value_to<std::string>(from.at("key")), json::value_to<std::string>(from.at("value")),
            from.at("version").to_number<std::uint64_t>()};
}

transaction_result decode_result(const http::response& answer) {
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

/// Decodes an answer; one that isn't what the protocol promises is as good as lost.
template <typename Decode>
auto decode_or_refuse(const http::response& answer, call_kind kind, Decode decode) {
    try {
        return decode(answer);
    } catch (const std::exception& error) {
        throw store_error(kind == call_kind::write ? effect::unknown : effect::none,
                          std::string("platform: an answer that can't be read: ") + error.what());
    }
}

asio::awaitable<transaction_result> send_transaction(asio::any_io_executor executor,
                                                     asio::ip::tcp::endpoint address,
                                                     std::chrono::milliseconds timeout, std::string body) {
    http::request call{"POST", "/table/transact", {{"Content-Type", "application/json"}}, std::move(body)};
    const auto answer = co_await call_store(executor, address, timeout, std::move(call), call_kind::write);
    if (answer.head.status != status_ok && answer.head.status != status_conflict) {
        refuse_answer("transact", answer.head.status, call_kind::write);
    }
    co_return decode_or_refuse(answer, call_kind::write, decode_result);
}

asio::awaitable<std::optional<row>> send_read(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                                              std::chrono::milliseconds timeout, std::string target) {
    http::request call{"GET", std::move(target), {}, ""};
    const auto answer = co_await call_store(executor, address, timeout, std::move(call), call_kind::read);
    if (answer.head.status == status_not_found) {
        co_return std::nullopt;
    }
    if (answer.head.status != status_ok) {
        refuse_answer("row", answer.head.status, call_kind::read);
    }
    co_return decode_or_refuse(answer, call_kind::read, [](const http::response& received) {
        return decode_row(json::parse(received.body));
    });
}

std::vector<row> decode_rows(const http::response& answer) {
    std::vector<row> rows;
    const auto body = json::parse(answer.body);
    for (const auto& entry : body.at("rows").as_array()) {
        rows.push_back(decode_row(entry));
    }
    return rows;
}

asio::awaitable<std::vector<row>> send_scan(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                                            std::chrono::milliseconds timeout, std::string target) {
    http::request call{"GET", std::move(target), {}, ""};
    const auto answer = co_await call_store(executor, address, timeout, std::move(call), call_kind::read);
    if (answer.head.status != status_ok) {
        refuse_answer("scan", answer.head.status, call_kind::read);
    }
    co_return decode_or_refuse(answer, call_kind::read, decode_rows);
}

} // namespace

table::table(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
             std::chrono::milliseconds timeout)
    : m_executor(std::move(executor)), m_address(std::move(address)), m_timeout(timeout) {}

// The calls below encode their arguments before they return, so a caller's views needn't outlive the call.

asio::awaitable<transaction_result> table::transact(const transaction& changes) {
    return send_transaction(m_executor, m_address, m_timeout, encode(changes));
}

asio::awaitable<std::optional<row>> table::read(std::string_view key) {
    return send_read(m_executor, m_address, m_timeout, "/table/row?key=" + encode_for_target(key));
}

asio::awaitable<std::vector<row>> table::scan(std::string_view prefix, std::string_view after,
                                              std::size_t limit) {
    return send_scan(m_executor, m_address, m_timeout,
                     "/table/scan?prefix=" + encode_for_target(prefix) +
                         "&after=" + encode_for_target(after) + "&limit=" + std::to_string(limit));
}

} // namespace borageford::store

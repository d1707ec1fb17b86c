// Each call encodes its request in the given format, makes an HTTP exchange and decodes the answer.
#include "store/table.hpp"

#include "store/store_call.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace borageford::store {

namespace asio = boost::asio;

namespace {

/// Rows that one page of table::read_all() may contain.
constexpr std::size_t rows_per_page = 500;

/// Where and how to send a call. Copied into the coroutine of the call.
struct call_target {
    asio::any_io_executor executor;
    asio::ip::tcp::endpoint address;
    std::chrono::milliseconds timeout;
};

/// Decodes an answer. Throws store_error for an answer that violates the protocol, which is treated like a
/// lost one.
template <typename Decode>
auto decode_or_throw(call_kind kind, Decode decode) {
    try {
        return decode();
    } catch (const std::exception& error) {
        throw store_error(kind == call_kind::write ? effect::unknown : effect::none,
                          std::string("platform: an answer that can't be read: ") + error.what());
    }
}

asio::awaitable<http::response> exchange(call_target target, http::request call, call_kind kind) {
    return call_store(target.executor, target.address, target.timeout, std::move(call), kind);
}

asio::awaitable<transaction_result> send_transaction(call_target target, table_format format,
                                                     transaction changes, http::request call) {
    const auto answer = co_await exchange(target, std::move(call), call_kind::write);
    auto result = decode_or_throw(call_kind::write, [&] {
        return std::visit([&](const auto& codec) { return codec.decode_transaction(changes, answer); },
                          format);
    });
    if (!result.has_value()) {
        throw_unexpected_status("transact", answer.head.status, call_kind::write);
    }
    co_return *std::move(result);
}

asio::awaitable<std::optional<row>> send_read(call_target target, table_format format, http::request call) {
    const auto answer = co_await exchange(target, std::move(call), call_kind::read);
    std::optional<row> found;
    const bool is_expected = decode_or_throw(call_kind::read, [&] {
        return std::visit([&](const auto& codec) { return codec.decode_read(answer, found); }, format);
    });
    if (!is_expected) {
        throw_unexpected_status("row", answer.head.status, call_kind::read);
    }
    co_return found;
}

asio::awaitable<row_page> send_scan(call_target target, table_format format, std::string prefix,
                                    http::request call) {
    const auto answer = co_await exchange(target, std::move(call), call_kind::read);
    auto page = decode_or_throw(call_kind::read, [&] {
        return std::visit([&](const auto& codec) { return codec.decode_scan(prefix, answer); }, format);
    });
    if (!page.has_value()) {
        throw_unexpected_status("scan", answer.head.status, call_kind::read);
    }
    co_return *std::move(page);
}

http::request encode_scan(const table_format& format, std::string_view prefix, std::string_view after,
                          std::size_t limit) {
    return std::visit([&](const auto& codec) { return codec.encode_scan(prefix, after, limit); }, format);
}

asio::awaitable<std::vector<row>> scan_rows(call_target target, table_format format, std::string prefix,
                                            http::request call) {
    auto page = co_await send_scan(target, format, std::move(prefix), std::move(call));
    co_return std::move(page.rows);
}

} // namespace

table::table(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
             std::chrono::milliseconds timeout, table_format format)
    : m_executor(std::move(executor)), m_address(std::move(address)), m_timeout(timeout), m_format(format) {}

// The functions below encode their arguments before they return an awaitable. Views that are passed to them
// needn't stay valid until the awaitable is done.

asio::awaitable<transaction_result> table::transact(const transaction& changes) {
    auto call = std::visit([&](const auto& codec) { return codec.encode_transaction(changes); }, m_format);
    return send_transaction({m_executor, m_address, m_timeout}, m_format, changes, std::move(call));
}

asio::awaitable<std::optional<row>> table::read(std::string_view key) {
    auto call = std::visit([&](const auto& codec) { return codec.encode_read(key); }, m_format);
    return send_read({m_executor, m_address, m_timeout}, m_format, std::move(call));
}

asio::awaitable<std::vector<row>> table::scan(std::string_view prefix, std::string_view after,
                                              std::size_t limit) {
    return scan_rows({m_executor, m_address, m_timeout}, m_format, std::string(prefix),
                     encode_scan(m_format, prefix, after, limit));
}

asio::awaitable<row_page> table::read_all(std::string prefix) {
    row_page all;
    bool has_more = true;
    while (has_more) {
        const auto after = all.rows.empty() ? std::string() : all.rows.back().key;
        auto page = co_await send_scan({m_executor, m_address, m_timeout}, m_format, prefix,
                                       encode_scan(m_format, prefix, after, rows_per_page));
        if (!after.empty() && page.position.era != all.position.era) {
            throw store_error(effect::none, "platform: it came back from a copy while its rows were read");
        }
        // Later pages may be newer than the first. The position of the first page is kept, so that a caller
        // that requests the changes after it misses none; it receives changes between the pages again.
        all.position = after.empty() ? page.position : all.position;
        all.store_time = after.empty() ? page.store_time : all.store_time;
        has_more = page.has_more && !page.rows.empty();
        std::ranges::move(page.rows, std::back_inserter(all.rows));
    }
    co_return all;
}

asio::awaitable<std::optional<change_page>> table::changes(std::string table_name, std::uint64_t after,
                                                           std::chrono::milliseconds wait) {
    const auto* format = std::get_if<deployed_format>(&m_format);
    if (format == nullptr) {
        throw store_error(effect::none, "platform: this format can't tell changes");
    }
    const auto answer = co_await exchange({m_executor, m_address, m_timeout + wait},
                                          format->encode_changes(table_name, after, wait), call_kind::read);
    if (format->has_lost_history(answer)) {
        co_return std::nullopt;
    }
    auto page = decode_or_throw(call_kind::read, [&] { return format->decode_changes(answer); });
    if (!page.has_value()) {
        throw_unexpected_status("changes", answer.head.status, call_kind::read);
    }
    co_return page;
}

} // namespace borageford::store

// Sends the object store's calls over HTTP and decodes the answers.
#include "store/object_store.hpp"

#include "store/store_call.hpp"

#include <boost/json.hpp>

#include <utility>

namespace borageford::store {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned first_error_status = 300;
constexpr unsigned status_not_found = 404;

asio::awaitable<void> send_put(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                               std::chrono::milliseconds timeout, std::string target, std::string bytes) {
    http::request call{
        "PUT", std::move(target), {{"Content-Type", "application/octet-stream"}}, std::move(bytes)};
    const auto answer = co_await call_store(executor, address, timeout, std::move(call), call_kind::write);
    if (answer.head.status >= first_error_status) {
        throw_unexpected_status("put of an object", answer.head.status, call_kind::write);
    }
}

asio::awaitable<std::optional<std::string>> send_get(asio::any_io_executor executor,
                                                     asio::ip::tcp::endpoint address,
                                                     std::chrono::milliseconds timeout, std::string target) {
    http::request call{"GET", std::move(target), {}, ""};
    auto answer =
        co_await call_store(executor, address, timeout, std::move(call), call_kind::read, max_object_bytes);
    if (answer.head.status == status_not_found) {
        co_return std::nullopt;
    }
    if (answer.head.status != status_ok) {
        throw_unexpected_status("get of an object", answer.head.status, call_kind::read);
    }
    co_return std::move(answer.body);
}

std::vector<object_entry> decode_entries(const std::string& body) {
    std::vector<object_entry> entries;
    const auto parsed = json::parse(body);
    for (const auto& entry : parsed.at("objects").as_array()) {
        entries.push_back(
            {json::value_to<std::string>(entry.at("key")), entry.at("size").to_number<std::uint64_t>()});
    }
    return entries;
}

asio::awaitable<std::vector<object_entry>> send_list(asio::any_io_executor executor,
                                                     asio::ip::tcp::endpoint address,
                                                     std::chrono::milliseconds timeout, std::string target) {
    http::request call{"GET", std::move(target), {}, ""};
    const auto answer = co_await call_store(executor, address, timeout, std::move(call), call_kind::read);
    if (answer.head.status != status_ok) {
        throw_unexpected_status("list of objects", answer.head.status, call_kind::read);
    }
    try {
        co_return decode_entries(answer.body);
    } catch (const std::exception& error) {
        throw store_error(effect::none, std::string("platform: a list that can't be read: ") + error.what());
    }
}

} // namespace

object_store::object_store(asio::any_io_executor executor, asio::ip::tcp::endpoint address,
                           std::chrono::milliseconds timeout)
    : m_executor(std::move(executor)), m_address(std::move(address)), m_timeout(timeout) {}

// The functions below encode their arguments before they return an awaitable. Views that are passed to them
// needn't stay valid until the awaitable is done.

asio::awaitable<void> object_store::put(std::string_view key, std::string bytes) {
    return send_put(m_executor, m_address, m_timeout, "/objects/" + encode_for_target(key), std::move(bytes));
}

asio::awaitable<std::optional<std::string>> object_store::get(std::string_view key) {
    return send_get(m_executor, m_address, m_timeout, "/objects/" + encode_for_target(key));
}

asio::awaitable<std::vector<object_entry>> object_store::list(std::string_view prefix, std::string_view after,
                                                              std::size_t limit) {
    return send_list(m_executor, m_address, m_timeout,
                     "/objects?prefix=" + encode_for_target(prefix) + "&after=" + encode_for_target(after) +
                         "&limit=" + std::to_string(limit));
}

} // namespace borageford::store

// The table's calls as a deployment speaks them.
#pragma once

#include "http/message.hpp"
#include "store/row.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace borageford::store {

/// Given by the deployment's adapter, which knows its names. Decoding throws std::exception for an answer
/// that isn't what the protocol promises; an empty result means that the status was none that the call
/// expects.
struct deployed_format {
    std::function<http::request(const transaction&)> encode_transaction;
    std::function<std::optional<transaction_result>(const transaction&, const http::response&)>
        decode_transaction;

    std::function<http::request(std::string_view key)> encode_read;
    /// Sets the row when it exists; false: the status was unexpected.
    std::function<bool(const http::response&, std::optional<row>&)> decode_read;

    std::function<http::request(std::string_view prefix, std::string_view after, std::size_t limit)>
        encode_scan;
    std::function<std::optional<row_page>(std::string_view prefix, const http::response&)> decode_scan;

    /// Changes of one table after a version; answered as soon as there is one, or empty after the wait.
    std::function<http::request(std::string_view table, std::uint64_t after, std::chrono::milliseconds)>
        encode_changes;
    std::function<std::optional<change_page>(const http::response&)> decode_changes;
    /// The store no longer has the history that was asked for.
    std::function<bool(const http::response&)> has_lost_history;
};

} // namespace borageford::store

// The encoding of the table's calls in the format of an outside platform, as a set of functions.
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

/// The adapter of a deployment, which knows the platform's names of fields and paths, supplies these
/// functions. A decoding function throws std::exception for an answer that violates the protocol. It
/// returns an empty result when the call doesn't expect the status of the answer.
struct deployed_format {
    std::function<http::request(const transaction&)> encode_transaction;
    std::function<std::optional<transaction_result>(const transaction&, const http::response&)>
        decode_transaction;

    std::function<http::request(std::string_view key)> encode_read;
    /// Sets the row when it exists. Returns false when the call doesn't expect the status of the answer.
    std::function<bool(const http::response&, std::optional<row>&)> decode_read;

    std::function<http::request(std::string_view prefix, std::string_view after, std::size_t limit)>
        encode_scan;
    std::function<std::optional<row_page>(std::string_view prefix, const http::response&)> decode_scan;

    /// Long poll for the changes of one table after a version. The store answers as soon as there is a
    /// change, or with an empty list after the given wait.
    std::function<http::request(std::string_view table, std::uint64_t after, std::chrono::milliseconds)>
        encode_changes;
    std::function<std::optional<change_page>(const http::response&)> decode_changes;
    /// Whether the answer says that the store no longer has the changes after the requested version.
    std::function<bool(const http::response&)> has_lost_history;
};

} // namespace borageford::store

// The encoding of the table's calls in the project's own format, which docs/INTERFACES.md describes.
#pragma once

#include "http/message.hpp"
#include "store/row.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace borageford::store {

/// A decoding function throws std::exception for an answer that violates the protocol. It returns an empty
/// optional when the call doesn't expect the status of the answer.
class native_format {
public:
    [[nodiscard]] http::request encode_transaction(const transaction& changes) const;
    [[nodiscard]] std::optional<transaction_result> decode_transaction(const transaction& changes,
                                                                       const http::response& answer) const;

    [[nodiscard]] http::request encode_read(std::string_view key) const;
    /// Sets `found` when the row exists. Returns false when the call doesn't expect the status of the answer.
    [[nodiscard]] bool decode_read(const http::response& answer, std::optional<row>& found) const;

    [[nodiscard]] http::request encode_scan(std::string_view prefix, std::string_view after,
                                            std::size_t limit) const;
    [[nodiscard]] std::optional<row_page> decode_scan(std::string_view prefix,
                                                      const http::response& answer) const;
};

} // namespace borageford::store

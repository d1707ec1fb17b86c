// The table's calls as docs/INTERFACES.md describes them.
#pragma once

#include "http/message.hpp"
#include "store/row.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace borageford::store {

/// Decoding throws std::exception for an answer that isn't what the protocol promises. An empty optional from
/// a decoder of rows means that the status was none that the call expects.
class native_format {
public:
    [[nodiscard]] http::request encode_transaction(const transaction& changes) const;
    [[nodiscard]] std::optional<transaction_result> decode_transaction(const transaction& changes,
                                                                       const http::response& answer) const;

    [[nodiscard]] http::request encode_read(std::string_view key) const;
    /// Sets `found` when the row exists; false: the status was unexpected.
    [[nodiscard]] bool decode_read(const http::response& answer, std::optional<row>& found) const;

    [[nodiscard]] http::request encode_scan(std::string_view prefix, std::string_view after,
                                            std::size_t limit) const;
    [[nodiscard]] std::optional<row_page> decode_scan(std::string_view prefix,
                                                      const http::response& answer) const;
};

} // namespace borageford::store

// The header fields of one HTTP message in the order of arrival. All names and values are stored in one
// string, with their positions beside it, to avoid an allocation for each field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::http {

/// Compares two header field names, ignoring the case of ASCII letters.
[[nodiscard]] bool is_same_name(std::string_view left, std::string_view right) noexcept;

/// A list of header fields. Views into it are valid until the list is modified.
class field_list {
public:
    struct field {
        std::string_view name;
        std::string_view value;
    };

    void add(std::string_view name, std::string_view value);
    void clear() noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return m_positions.size(); }
    /// The field at the index. Throws std::out_of_range.
    [[nodiscard]] field at(std::size_t index) const;

    /// The value of the first field with this name, ignoring case; std::nullopt when there is none.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    /// Whether there are fields with this name, ignoring case, and all of them have this value.
    [[nodiscard]] bool all_are(std::string_view name, std::string_view value) const;
    /// Number of fields with this name, ignoring case.
    [[nodiscard]] std::size_t count(std::string_view name) const;

private:
    struct position {
        std::uint32_t begin;
        std::uint32_t name_size;
        std::uint32_t value_size;
    };

    std::string m_text; ///< the concatenated names and values of all fields
    std::vector<position> m_positions;
};

} // namespace borageford::http

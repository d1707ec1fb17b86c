// The header fields of one message as they came: one text, and the place of each name and value in it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::http {

/// Compares two names without case, as header fields are compared.
[[nodiscard]] bool is_same_name(std::string_view left, std::string_view right) noexcept;

class field_list {
public:
    struct field {
        std::string_view name;
        std::string_view value;
    };

    void add(std::string_view name, std::string_view value);
    void clear() noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return m_places.size(); }
    [[nodiscard]] field at(std::size_t index) const;

    /// The value of the first field of this name; nothing when there is none.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    [[nodiscard]] std::size_t count(std::string_view name) const;

private:
    struct place {
        std::uint32_t begin;
        std::uint32_t name_size;
        std::uint32_t value_size;
    };

    std::string m_text; ///< names and values, one after the other
    std::vector<place> m_places;
};

} // namespace borageford::http

// Implements field_list. Lookups search the fields in order, comparing the lengths of names first: a message
// has about ten fields, so a hash table would cost more than it saves.
#include "http/field_list.hpp"

#include <algorithm>

namespace borageford::http {
namespace {

char to_lower(char c) noexcept {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool is_same_name(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() &&
           std::ranges::equal(left, right, [](char a, char b) { return to_lower(a) == to_lower(b); });
}

void field_list::add(std::string_view name, std::string_view value) {
    m_positions.push_back({static_cast<std::uint32_t>(m_text.size()), static_cast<std::uint32_t>(name.size()),
                           static_cast<std::uint32_t>(value.size())});
    m_text.append(name).append(value);
}

void field_list::clear() noexcept {
    m_text.clear();
    m_positions.clear();
}

field_list::field field_list::at(std::size_t index) const {
    const auto& where = m_positions.at(index);
    const std::string_view text(m_text);
    return {text.substr(where.begin, where.name_size),
            text.substr(where.begin + where.name_size, where.value_size)};
}

std::optional<std::string_view> field_list::find(std::string_view name) const {
    for (std::size_t index = 0; index < m_positions.size(); ++index) {
        const auto [field_name, value] = at(index);
        if (is_same_name(field_name, name)) {
            return value;
        }
    }
    return std::nullopt;
}

bool field_list::all_are(std::string_view name, std::string_view value) const {
    bool is_found = false;
    for (std::size_t index = 0; index < m_positions.size(); ++index) {
        const auto found = at(index);
        if (!is_same_name(found.name, name)) {
            continue;
        }
        if (found.value != value) {
            return false;
        }
        is_found = true;
    }
    return is_found;
}

std::size_t field_list::count(std::string_view name) const {
    std::size_t found = 0;
    for (std::size_t index = 0; index < m_positions.size(); ++index) {
        found += is_same_name(at(index).name, name) ? 1 : 0;
    }
    return found;
}

} // namespace borageford::http

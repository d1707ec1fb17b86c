// Encodes and decodes the keys and values of rows of crash marks.
#include "marks/crash_mark.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace borageford::marks {
namespace {

namespace json = boost::json;

constexpr int hexadecimal = 16;
constexpr std::size_t key_digits = 16;

} // namespace

bool parse_key(std::string_view key, std::uint64_t& fingerprint) {
    key.remove_prefix(std::min(key.size(), key_prefix.size()));
    const auto parsed = std::from_chars(key.data(), key.data() + key.size(), fingerprint, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == key.data() + key.size() && key.size() == key_digits;
}

std::string key_for(std::uint64_t fingerprint) {
    std::string digits(key_digits, '0');
    std::string shortest(key_digits, '0');
    const auto written =
        std::to_chars(shortest.data(), shortest.data() + shortest.size(), fingerprint, hexadecimal);
    const auto length = static_cast<std::size_t>(written.ptr - shortest.data());
    digits.replace(key_digits - length, length, shortest, 0, length);
    return std::string(key_prefix) + digits;
}

std::string encode_row(const std::vector<crash_mark>& marks) {
    json::array list;
    for (const auto& mark : marks) {
        list.push_back(
            {{"mark", mark.mark.to_string()}, {"backend_server", mark.backend_server}, {"time", mark.time}});
    }
    return json::serialize(json::object{{"marks", std::move(list)}});
}

std::vector<crash_mark> decode_row(std::string_view value) {
    std::vector<crash_mark> marks;
    try {
        const auto parsed = json::parse({value.data(), value.size()});
        for (const auto& item : parsed.at("marks").as_array()) {
            const auto mark = identifier::parse(std::string(item.at("mark").as_string()));
            marks.push_back({mark.value(), std::string(item.at("backend_server").as_string()),
                             item.at("time").to_number<std::int64_t>()});
        }
    } catch (const std::exception& error) {
        throw std::invalid_argument(std::string("not a row of crash marks: ") + error.what());
    }
    return marks;
}

} // namespace borageford::marks

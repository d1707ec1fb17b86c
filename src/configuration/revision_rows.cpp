// Encodes and decodes the head row and revision rows as JSON.
#include "configuration/revision_rows.hpp"

#include "base/compression.hpp"
#include "settings/ini_document.hpp"

#include <boost/json.hpp>

#include <cstddef>
#include <stdexcept>

namespace borageford::configuration {

namespace json = boost::json;

namespace {

constexpr std::size_t revision_digits = 12;

std::string text_of(const json::value& from, std::string_view key) {
    return json::value_to<std::string>(from.at(key));
}

/// Returns the intent of a revision row. Earlier versions of the software stored the text uncompressed, under
/// another name.
std::string intent_of(const json::value& from) {
    if (from.as_object().contains("text")) {
        return text_of(from, "text");
    }
    return inflate_text(decode_base64(text_of(from, "deflated_text")), settings::text_limit);
}

template <typename Decode>
auto decode_row(std::string_view value, Decode decode) {
    try {
        return decode(json::parse(value));
    } catch (const std::exception& error) {
        throw std::runtime_error(std::string("a configuration row that can't be read: ") + error.what());
    }
}

} // namespace

std::string revision_key(revision_number revision) {
    const auto digits = std::to_string(revision);
    const auto padding = digits.size() < revision_digits ? revision_digits - digits.size() : 0;
    return std::string(revision_prefix) + std::string(padding, '0') + digits;
}

std::string encode(const head_row& head) {
    return json::serialize(
        json::object{{"revision", head.revision}, {"plan", head.plan}, {"operator", head.operator_name}});
}

std::string encode(const revision_row& revision) {
    return json::serialize(json::object{{"revision", revision.revision},
                                        {"plan", revision.plan},
                                        {"operator", revision.operator_name},
                                        {"time", revision.time},
                                        {"deflated_text", encode_base64(deflate_text(revision.text))}});
}

head_row decode_head(std::string_view value) {
    return decode_row(value, [](const json::value& from) {
        return head_row{from.at("revision").to_number<revision_number>(), text_of(from, "plan"),
                        text_of(from, "operator")};
    });
}

revision_row decode_revision(std::string_view value) {
    return decode_row(value, [](const json::value& from) {
        return revision_row{from.at("revision").to_number<revision_number>(), text_of(from, "plan"),
                            text_of(from, "operator"), text_of(from, "time"), intent_of(from)};
    });
}

} // namespace borageford::configuration

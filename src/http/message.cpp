// Look-ups in headers and request targets, and helpers that build responses.
#include "http/message.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <utility>

namespace borageford::http {

std::optional<std::string_view> find_header(const header_fields& headers, std::string_view name) {
    for (const auto& field : headers) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

response make_response(unsigned status, std::string_view content_type, std::string body) {
    return {{status, {{"Content-Type", std::string(content_type)}}}, std::move(body)};
}

std::string to_seconds_text(std::chrono::milliseconds span) {
    constexpr std::int64_t per_second = 1000;
    auto fraction = std::to_string(span.count() % per_second);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(span.count() / per_second) + "." + fraction;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(std::string_view target, std::string_view name) {
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return std::nullopt;
    }
    for (const auto parameter : parsed->params()) {
        if (parameter.key == name) {
            return std::string(parameter.value);
        }
    }
    return std::nullopt;
}

} // namespace borageford::http

// Implementation of read_by_grammar(): each function reads one rule of the grammar from the front of a view,
// and throws not_in_grammar if it isn't there.
#include "fuzz/response_oracle.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace borageford::test {
namespace {

struct not_in_grammar {};

void demand(bool condition) {
    if (!condition) {
        throw not_in_grammar();
    }
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

/// tchar
bool is_token_char(char c) {
    const bool is_letter = (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
    return is_letter || is_digit(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, is_token_char);
}

/// HTAB / SP / VCHAR / obs-text
bool is_text(std::string_view text) {
    return std::ranges::all_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_same(std::string_view left, std::string_view right) {
    return std::ranges::equal(left, right, [](char a, char b) {
        const auto lower = [](char c) {
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
        };
        return lower(a) == lower(b);
    });
}

/// The text before CRLF, which is removed with it.
std::string_view read_line(std::string_view& rest) {
    const auto end = rest.find("\r\n");
    demand(end != std::string_view::npos);
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    return line;
}

struct status_line {
    unsigned status = 0;
    bool is_version_1_0 = false;
};

/// HTTP-version SP status-code SP [ reason-phrase ] CRLF; a status is 100 to 599.
status_line read_status_line(std::string_view& rest) {
    const auto line = read_line(rest);
    constexpr std::size_t reason_begin = 13;
    demand(line.size() >= reason_begin);
    demand(line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 "));
    demand(is_digit(line[9]) && is_digit(line[10]) && is_digit(line[11]) && line[12] == ' ');
    demand(is_text(line.substr(reason_begin)));
    status_line result;
    result.status = static_cast<unsigned>(std::stoul(std::string(line.substr(9, 3))));
    result.is_version_1_0 = line[7] == '0';
    demand(result.status >= 100 && result.status <= 599 && result.status != 101);
    return result;
}

using field_vector = std::vector<std::pair<std::string, std::string>>;

/// *( field-line CRLF ) CRLF, where lines that begin with white space continue the value before.
field_vector read_fields(std::string_view& rest) {
    field_vector fields;
    for (auto line = read_line(rest); !line.empty(); line = read_line(rest)) {
        if (line.front() == ' ' || line.front() == '\t') {
            demand(!fields.empty() && is_text(line));
            auto& value = fields.back().second;
            const auto more = trim(line);
            value.append(value.empty() || more.empty() ? "" : " ").append(more);
            continue;
        }
        const auto colon = line.find(':');
        demand(colon != std::string_view::npos);
        const auto name = line.substr(0, colon);
        const auto value = line.substr(colon + 1);
        demand(is_token(name) && is_text(value));
        fields.emplace_back(name, trim(value));
    }
    return fields;
}

/// 1*DIGIT
std::uint64_t read_number(std::string_view digits, std::uint64_t base, std::string_view alphabet) {
    demand(!digits.empty());
    std::uint64_t number = 0;
    for (const char c : digits) {
        const char lower = c >= 'A' && c <= 'F' ? static_cast<char>(c + ('a' - 'A')) : c;
        const auto digit = alphabet.find(lower);
        demand(digit != std::string_view::npos);
        demand(number <= (std::numeric_limits<std::uint64_t>::max() - digit) / base);
        number = number * base + digit;
    }
    return number;
}

/// Elements of a list between commas, trimmed.
std::vector<std::string_view> split(std::string_view list) {
    std::vector<std::string_view> elements;
    for (auto comma = list.find(','); comma != std::string_view::npos; comma = list.find(',')) {
        elements.push_back(trim(list.substr(0, comma)));
        list.remove_prefix(comma + 1);
    }
    elements.push_back(trim(list));
    return elements;
}

struct framing {
    std::optional<std::uint64_t> length;
    bool is_chunked = false;
};

/// RFC 9112, 6: one length, or several equal ones, or the coding "chunked", but not both.
framing read_framing(const field_vector& fields, bool is_version_1_0) {
    framing result;
    for (const auto& [name, value] : fields) {
        if (is_same(name, "Content-Length")) {
            for (const auto element : split(value)) {
                const auto length = read_number(element, 10, "0123456789");
                demand(!result.length.has_value() || result.length == length);
                result.length = length;
            }
        }
        if (is_same(name, "Transfer-Encoding")) {
            demand(!result.is_chunked && !is_version_1_0 && is_same(value, "chunked"));
            result.is_chunked = true;
        }
    }
    demand(!result.is_chunked || !result.length.has_value());
    return result;
}

void skip_space(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
}

void skip_token(std::string_view& rest) {
    const auto end = std::ranges::find_if_not(rest, is_token_char);
    demand(end != rest.begin());
    rest.remove_prefix(static_cast<std::size_t>(end - rest.begin()));
}

/// DQUOTE *( qdtext / quoted-pair ) DQUOTE
void skip_quoted(std::string_view& rest) {
    rest.remove_prefix(1);
    while (true) {
        demand(!rest.empty());
        const char c = rest.front();
        rest.remove_prefix(1);
        if (c == '"') {
            return;
        }
        if (c == '\\') {
            demand(!rest.empty());
            rest.remove_prefix(1);
        }
    }
}

/// *( BWS ";" BWS chunk-ext-name [ BWS "=" BWS chunk-ext-val ] )
void check_extensions(std::string_view rest) {
    demand(is_text(rest));
    while (!rest.empty()) {
        skip_space(rest);
        demand(rest.starts_with(';'));
        rest.remove_prefix(1);
        skip_space(rest);
        skip_token(rest);
        auto after = rest;
        skip_space(after);
        if (!after.starts_with('=')) {
            continue; // white space before the next semicolon
        }
        rest = after.substr(1);
        skip_space(rest);
        demand(!rest.empty());
        if (rest.front() == '"') {
            skip_quoted(rest);
        } else {
            skip_token(rest);
        }
    }
}

bool has_odd_connection(const field_vector& fields) {
    return std::ranges::any_of(fields, [](const auto& field) {
        const bool is_connection =
            is_same(field.first, "Connection") || is_same(field.first, "Proxy-Connection");
        return is_connection && !std::ranges::all_of(split(field.second), is_token);
    });
}

/// *chunk last-chunk trailer-section CRLF; fields that frame a message can't come after it.
void read_chunks(std::string_view& rest, oracle_response& result) {
    for (;;) {
        const auto line = read_line(rest);
        const auto digits = line.substr(0, line.find_first_not_of("0123456789abcdefABCDEF"));
        const auto size = read_number(digits, 16, "0123456789abcdef");
        check_extensions(line.substr(digits.size()));
        if (size == 0) {
            break;
        }
        demand(rest.size() >= 2 && size <= rest.size() - 2);
        result.body.append(rest.substr(0, size));
        rest.remove_prefix(size);
        demand(rest.starts_with("\r\n"));
        rest.remove_prefix(2);
    }
    const auto trailers = read_fields(rest);
    for (const auto& [name, value] : trailers) {
        demand(!is_same(name, "Content-Length") && !is_same(name, "Transfer-Encoding"));
    }
    result.has_odd_connection = result.has_odd_connection || has_odd_connection(trailers);
}

oracle_response read_response(std::string_view bytes) {
    oracle_response result;
    auto rest = bytes;
    for (;;) {
        const auto line = read_status_line(rest);
        result.status = line.status;
        result.fields = read_fields(rest);
        result.has_odd_connection = result.has_odd_connection || has_odd_connection(result.fields);
        const auto frame = read_framing(result.fields, line.is_version_1_0);
        if (line.status < 200) {
            continue;
        }
        if (line.status == 204 || line.status == 304) {
            break;
        }
        if (frame.is_chunked) {
            read_chunks(rest, result);
        } else {
            const auto size = frame.length.value_or(rest.size());
            demand(size <= rest.size());
            result.body = rest.substr(0, size);
            rest.remove_prefix(size);
        }
        break;
    }
    result.size = bytes.size() - rest.size();
    return result;
}

} // namespace

std::optional<oracle_response> read_by_grammar(std::string_view bytes) {
    try {
        return read_response(bytes);
    } catch (const not_in_grammar&) {
        return std::nullopt;
    }
}

} // namespace borageford::test

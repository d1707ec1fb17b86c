// Implements response_reader with Boost.Beast's parser.
#include "http/response_reader.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace borageford::http {

namespace beast = boost::beast;

namespace {

/// Largest accepted response head in bytes. It is far larger than usual heads and keeps an endless head from
/// exhausting the memory.
constexpr std::uint32_t head_limit = 64U * 1024;

/// RFC 9110, section 15: any other number is no status.
constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
constexpr unsigned first_final_status = 200;
constexpr int first_chunked_version = 11;
/// No request asks for another protocol, so what follows such a response can't be read.
constexpr unsigned switching_protocols = 101;

/// The parser waits for the end of a line or of a group of fields, however far away that is. It bounds the
/// head only, not the lines between and after the chunks of a body.
void check_length(std::size_t incomplete) {
    if (incomplete > head_limit) {
        throw response_error("a line or its fields are too long");
    }
}

/// Whether no text of a message may hold this byte.
bool is_control(char byte) noexcept {
    constexpr unsigned char last_control = 0x1f;
    constexpr unsigned char delete_control = 0x7f;
    const auto value = static_cast<unsigned char>(byte);
    return (value <= last_control && byte != '\t') || value == delete_control;
}

class library_parser : public beast::http::basic_parser<false> {
public:
    int version = 0; ///< 10 times the HTTP version
    unsigned status_code = 0;
    std::string reason_text;
    field_list fields;
    std::string* body = nullptr; ///< the string to which body bytes are appended; set before put() is called

private:
    using string_view = beast::string_view;
    using error_code = beast::error_code;

    void on_request_impl(beast::http::verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int code, string_view reason, int version_code, error_code& error) override {
        version = version_code;
        status_code = static_cast<unsigned>(code);
        const bool is_known = status_code >= first_status && status_code <= last_status;
        if (!is_known || status_code == switching_protocols) {
            error = beast::http::error::bad_status;
            return;
        }
        reason_text.assign(reason.data(), reason.size());
    }
    void on_field_impl(beast::http::field which, string_view name, string_view value,
                       error_code& error) override {
        if (m_has_head) {
            // A trailer: it may say whatever the body's sender likes, and takes no part in the head.
            return;
        }
        if (which == beast::http::field::transfer_encoding && !can_decode(value)) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        fields.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    void on_header_impl(error_code&) override { m_has_head = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view bytes, error_code&) override { return append(bytes); }
    void on_chunk_header_impl(std::uint64_t, string_view extensions, error_code& error) override {
        if (std::ranges::any_of(extensions, is_control)) {
            error = beast::http::error::bad_chunk_extension;
        }
    }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override {
        return append(bytes);
    }
    void on_finish_impl(error_code&) override {}

    /// The chunked coding is the only one that this parser removes. Version 1.0 has none.
    [[nodiscard]] bool can_decode(string_view coding) const {
        return version >= first_chunked_version && beast::iequals(coding, "chunked");
    }

    std::size_t append(string_view bytes) {
        body->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    bool m_has_head = false; ///< further fields are trailers
};

} // namespace

struct response_reader::state {
    explicit state(body_rule body_of_last) : rule(body_of_last) { expect_response(); }

    void expect_response() {
        parser.emplace();
        parser->header_limit(head_limit);
        parser->body_limit(boost::none);
        parser->eager(true);
        parser->skip(rule == body_rule::none);
    }

    void count_head(std::size_t consumed) {
        const bool is_head = !parser->is_header_done() || is_interim();
        head_bytes += is_head ? consumed : 0;
    }

    [[nodiscard]] bool is_interim() const {
        return parser->is_done() && parser->status_code < first_final_status;
    }

    /// Expects another response after an interim one, of which there may be no end, either.
    void pass_over_interim() {
        if (!is_interim()) {
            return;
        }
        if (head_bytes > head_limit) {
            throw response_error("too many interim responses");
        }
        expect_response();
    }

    body_rule rule;
    std::optional<library_parser> parser; ///< never empty
    std::size_t head_bytes = 0;           ///< of the interim responses and of a head that isn't complete
};

response_reader::response_reader(body_rule rule) : m_state(std::make_unique<state>(rule)) {}

response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
response_reader& response_reader::operator=(response_reader&&) noexcept = default;

std::size_t response_reader::read(std::string_view bytes, std::string& body) {
    std::size_t used = 0;
    while (!is_complete() && used < bytes.size()) {
        const auto rest = bytes.substr(used);
        beast::error_code error;
        m_state->parser->body = &body;
        const auto consumed = m_state->parser->put(boost::asio::buffer(rest.data(), rest.size()), error);
        used += consumed;
        if (error && error != beast::http::error::need_more) {
            throw response_error(error.message());
        }
        m_state->count_head(consumed);
        if (error) {
            check_length(bytes.size() - used);
            break;
        }
        m_state->pass_over_interim();
    }
    return used;
}

void response_reader::read_end() {
    if (!m_state->parser->got_some()) {
        throw response_error("the connection ended before the response");
    }
    beast::error_code error;
    m_state->parser->put_eof(error);
    if (error || !is_complete()) {
        throw response_error("the response ended early");
    }
}

bool response_reader::has_head() const noexcept {
    return m_state->parser->is_header_done();
}

bool response_reader::is_complete() const noexcept {
    return m_state->parser->is_done();
}

bool response_reader::ends_with_connection() const noexcept {
    return m_state->parser->need_eof();
}

bool response_reader::keeps_connection() const noexcept {
    return m_state->parser->keep_alive();
}

std::optional<std::size_t> response_reader::content_length() const noexcept {
    const auto length = m_state->parser->content_length();
    return length.has_value() ? std::optional<std::size_t>(*length) : std::nullopt;
}

unsigned response_reader::status() const noexcept {
    return m_state->parser->status_code;
}

std::string_view response_reader::reason() const noexcept {
    return m_state->parser->reason_text;
}

const field_list& response_reader::fields() const noexcept {
    return m_state->parser->fields;
}

std::optional<std::chrono::seconds> idle_time(const field_list& fields) {
    constexpr std::string_view key = "timeout=";
    const auto value = fields.find("Keep-Alive");
    const auto begin = value ? value->find(key) : std::string_view::npos;
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value->substr(begin + key.size());
    unsigned seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace borageford::http

// Parses requests with Boost.Beast's parser and refuses ambiguous input that Beast accepts but a proxy must
// not.
#include "http/request_reader.hpp"

#include "base/request_error.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace borageford::http {

namespace beast = boost::beast;

namespace {

class library_parser : public beast::http::basic_parser<true> {
public:
    library_parser(received_request& message, std::size_t longest_body)
        : m_message(message), m_longest_body(longest_body) {}

    [[nodiscard]] bool has_unsupported_coding() const noexcept { return m_has_unsupported_coding; }

private:
    using string_view = beast::string_view;
    using error_code = beast::error_code;

    void on_request_impl(beast::http::verb, string_view method, string_view target, int,
                         error_code&) override {
        m_message.method.assign(method.data(), method.size());
        m_message.target.assign(target.data(), target.size());
    }
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(beast::http::field name, string_view name_text, string_view value,
                       error_code&) override {
        // With any other transfer coding the length of the body would be unknown.
        if (name == beast::http::field::transfer_encoding &&
            !is_same_name({value.data(), value.size()}, "chunked")) {
            m_has_unsupported_coding = true;
        }
        m_message.fields.add({name_text.data(), name_text.size()}, {value.data(), value.size()});
    }
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override {
        m_longest_body = length.value_or(m_longest_body);
    }
    std::size_t on_body_impl(string_view body, error_code&) override {
        append(body);
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code&) override {
        append(body);
        return body.size();
    }
    void on_finish_impl(error_code&) override {}

    /// Memory is allocated as bytes arrive, since a length that is only announced costs its sender nothing.
    void append(string_view bytes) {
        auto& body = m_message.body;
        const auto needed = body.size() + bytes.size();
        if (needed > body.capacity()) {
            // A new text, since one that grows gets twice its former capacity.
            std::string larger;
            larger.reserve(
                std::max<std::size_t>(needed, std::min<std::uint64_t>(2 * body.capacity(), m_longest_body)));
            larger.append(body);
            body.swap(larger);
        }
        body.append(bytes.data(), bytes.size());
    }

    received_request& m_message;
    std::uint64_t m_longest_body; ///< as announced, otherwise the limit
    bool m_has_unsupported_coding = false;
};

/// Whether the head contains, from `begin` on, a line that ends in LF without CR, a CR inside a line, a
/// folded line or a null byte. HTTP servers interpret each of these differently.
bool has_ambiguous_line(std::string_view head, std::size_t begin) {
    for (std::size_t index = begin; index < head.size(); ++index) {
        const char c = head[index];
        if (c == '\0') {
            return true;
        }
        if (c == '\n' && (index == 0 || head[index - 1] != '\r')) {
            return true;
        }
        if (c == '\r' && index + 1 < head.size() && head[index + 1] != '\n') {
            return true;
        }
        const bool begins_line = index > 1 && head[index - 1] == '\n';
        if (begins_line && (c == ' ' || c == '\t')) {
            return true;
        }
    }
    return false;
}

} // namespace

struct request_reader::state {
    explicit state(request_limits initial_limits)
        : limits(initial_limits), parser(message, limits.body_bytes) {
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
    }

    std::size_t read_head(std::string_view bytes) {
        constexpr std::string_view head_end = "\r\n\r\n";
        const auto end = bytes.find(head_end, checked_bytes);
        const auto head = bytes.substr(0, end == std::string_view::npos ? end : end + head_end.size());
        if (head.size() > limits.header_bytes) {
            throw request_error(error_kind::headers_too_large);
        }
        if (has_ambiguous_line(head, checked_bytes)) {
            throw request_error(error_kind::bad_request, "a line of the head can be read in two ways");
        }
        checked_bytes = head.size() - std::min(head.size(), head_end.size() - 1);
        if (end == std::string_view::npos) {
            return 0;
        }
        const auto used = put(bytes);
        check_head();
        head_bytes = head.size();
        return used;
    }

    /// Refuses the line of a chunk, or trailing fields, without an end: the parser needs each of them whole.
    void check_framing(std::size_t unparsed_bytes) const {
        if (unparsed_bytes > limits.header_bytes) {
            throw request_error(error_kind::headers_too_large, "the framing of the body");
        }
    }

    void check_head() {
        const auto& fields = message.fields;
        if (parser.has_unsupported_coding() || fields.count("Transfer-Encoding") > 1) {
            throw request_error(error_kind::bad_request, "a transfer coding other than chunked");
        }
        if (fields.count("Content-Length") > 1) {
            throw request_error(error_kind::bad_request, "more than one Content-Length");
        }
        if (fields.count("Host") != 1) {
            throw request_error(error_kind::bad_request, "a request needs one Host");
        }
        if (!message.target.starts_with('/')) {
            throw request_error(error_kind::bad_request, "the target has to be a path");
        }
        message.keeps_connection = parser.keep_alive();
    }

    std::size_t put(std::string_view bytes) {
        beast::error_code error;
        const auto used = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error == beast::http::error::body_limit) {
            throw request_error(error_kind::body_too_large);
        }
        if (error == beast::http::error::header_limit) {
            throw request_error(error_kind::headers_too_large);
        }
        if (error && error != beast::http::error::need_more) {
            throw request_error(error_kind::bad_request, error.message());
        }
        return used;
    }

    request_limits limits;
    received_request message;
    library_parser parser;
    /// Bytes of an incomplete head that needn't be looked at again. Otherwise a head that arrives byte by
    /// byte would cost time with the square of its length.
    std::size_t checked_bytes = 0;
    std::size_t head_bytes = 0; ///< of the complete head
};

request_reader::request_reader(request_limits limits) : m_state(std::make_unique<state>(limits)) {}
request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

std::size_t request_reader::read(std::string_view bytes) {
    std::size_t used = 0;
    if (!has_head()) {
        used = m_state->read_head(bytes);
        if (used == 0) {
            return 0;
        }
    }
    while (!is_complete() && used < bytes.size()) {
        const auto consumed = m_state->put(bytes.substr(used));
        if (consumed == 0) {
            break;
        }
        used += consumed;
    }
    if (!is_complete()) {
        m_state->check_framing(bytes.size() - used);
    }
    return used;
}

bool request_reader::has_head() const noexcept {
    return m_state->parser.is_header_done();
}

bool request_reader::is_complete() const noexcept {
    return m_state->parser.is_done();
}

bool request_reader::expects_continue() const noexcept {
    const auto expectation = m_state->message.fields.find("Expect");
    return expectation.has_value() && is_same_name(*expectation, "100-continue");
}

std::size_t request_reader::head_bytes() const noexcept {
    return m_state->head_bytes;
}

std::size_t request_reader::held_bytes() const noexcept {
    return m_state->head_bytes + m_state->message.body.capacity();
}

received_request& request_reader::message() noexcept {
    return m_state->message;
}

} // namespace borageford::http

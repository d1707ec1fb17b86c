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
    explicit library_parser(received_request& message) : m_message(message) {}

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
        m_message.body.reserve(length.value_or(0));
    }
    std::size_t on_body_impl(string_view body, error_code&) override {
        m_message.body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code&) override {
        m_message.body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code&) override {}

    received_request& m_message;
    bool m_has_unsupported_coding = false;
};

/// Whether the head contains a line that ends in LF without CR, a CR inside a line, a folded line or a null
/// byte. HTTP servers interpret each of these differently.
bool has_ambiguous_line(std::string_view head) {
    for (std::size_t index = 0; index < head.size(); ++index) {
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
    explicit state(request_limits initial_limits) : limits(initial_limits), parser(message) {
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
    }

    std::size_t read_head(std::string_view bytes) {
        const auto end = bytes.find("\r\n\r\n");
        const auto head = bytes.substr(0, end == std::string_view::npos ? end : end + 4);
        if (head.size() > limits.header_bytes) {
            throw request_error(error_kind::headers_too_large);
        }
        if (has_ambiguous_line(head)) {
            throw request_error(error_kind::bad_request, "a line of the head can be read in two ways");
        }
        if (end == std::string_view::npos) {
            return 0;
        }
        const auto used = put(bytes);
        check_head();
        return used;
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

std::size_t request_reader::missing_bytes() const noexcept {
    return has_head() ? m_state->parser.content_length_remaining().value_or(0) : 0;
}

received_request& request_reader::message() noexcept {
    return m_state->message;
}

} // namespace borageford::http

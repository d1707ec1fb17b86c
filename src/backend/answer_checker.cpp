// Checks the answers of model engines and reads their token counts.
#include "backend/answer_checker.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace borageford::backend {
namespace {

namespace json = boost::json;

constexpr std::string_view data_field = "data:";
/// The data of the last event of every complete answer.
constexpr std::string_view closing_event = "[DONE]";
/// The line beginnings that server-sent events allow besides `data_field`. ":" begins a comment.
constexpr std::array<std::string_view, 4> allowed_line_starts{"event:", "id:", "retry:", ":"};

/// Throws backend_error with failure::malformed when the text isn't a JSON object.
json::object parse_object(std::string_view text) {
    boost::system::error_code error;
    auto value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        throw backend_error(failure::malformed, "the backend server sent text that is not a JSON object");
    }
    return std::move(value.get_object());
}

/// Reads a token count; 0 when it is missing, negative or not an integer.
std::uint32_t read_count(const json::object& from, std::string_view key) {
    const auto* value = from.if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<std::int64_t>(value->get_int64(), UINT32_MAX));
}

/// Reads the token counts from the object "usage" of an answer or event. Returns false when there is none.
bool read_usage(const json::object& answer, usage& out) {
    const auto* found = answer.if_contains("usage");
    if (found == nullptr || !found->is_object()) {
        return false;
    }
    const auto& counts = found->get_object();
    out.prompt_tokens = read_count(counts, "prompt_tokens");
    out.output_tokens = read_count(counts, "completion_tokens");
    const auto* details = counts.if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        out.cached_tokens = read_count(details->get_object(), "cached_tokens");
    }
    return true;
}

/// Whether an event contains generated tokens.
bool has_choices(const json::object& event) {
    const auto* choices = event.if_contains("choices");
    return choices != nullptr && choices->is_array() && !choices->get_array().empty();
}

} // namespace

std::size_t event_stream_checker::check(std::string_view piece) {
    std::size_t tokens = 0;
    for (auto end = piece.find('\n'); end != std::string_view::npos; end = piece.find('\n')) {
        m_partial_line.append(piece.substr(0, end));
        piece.remove_prefix(end + 1);
        if (check_line(m_partial_line)) {
            ++tokens;
        }
        m_partial_line.clear();
    }
    m_partial_line.append(piece);
    if (m_partial_line.size() > line_limit) {
        throw backend_error(failure::malformed, "the backend server sent a line longer than the limit");
    }
    return tokens;
}

bool event_stream_checker::check_line(std::string_view line) {
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        return false;
    }
    if (m_is_done) {
        throw backend_error(failure::malformed,
                            "the backend server sent data after the closing event of its answer");
    }
    if (line.starts_with(data_field)) {
        return check_event(line.substr(data_field.size()));
    }
    const auto line_starts_with = [line](std::string_view field) {
        return line.starts_with(field);
    };
    if (std::ranges::none_of(allowed_line_starts, line_starts_with)) {
        throw backend_error(failure::malformed,
                            "the backend server sent a line that is not part of a server-sent event");
    }
    return false;
}

bool event_stream_checker::check_event(std::string_view data) {
    while (data.starts_with(' ')) {
        data.remove_prefix(1);
    }
    if (data == closing_event) {
        m_is_done = true;
        return false;
    }
    const auto event = parse_object(data);
    read_usage(event, m_usage);
    return has_choices(event);
}

void event_stream_checker::finish() const {
    if (!m_is_done) {
        throw backend_error(failure::malformed, "the answer ended without its closing event");
    }
}

usage check_complete_answer(std::string_view body) {
    usage counts;
    read_usage(parse_object(body), counts);
    return counts;
}

} // namespace borageford::backend

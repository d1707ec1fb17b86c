// Splits the body of a streamed chat completion into lines and reads the event in each "data: " line.
#include "load/event_reader.hpp"

#include <algorithm>

namespace borageford::test {
namespace {

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view end_mark = "[DONE]";
constexpr std::string_view content_key = R"("delta":{"content":")";
constexpr std::string_view error_key = R"("error")";
constexpr double gap_quantile = 0.95;

} // namespace

void event_reader::add(std::string_view bytes, time_point now) {
    m_incomplete_line.append(bytes);
    std::size_t begin = 0;
    for (auto end = m_incomplete_line.find('\n'); end != std::string::npos;
         end = m_incomplete_line.find('\n', begin)) {
        read_event(std::string_view(m_incomplete_line).substr(begin, end - begin), now);
        begin = end + 1;
    }
    m_incomplete_line.erase(0, begin);
}

void event_reader::read_event(std::string_view line, time_point now) {
    if (!line.starts_with(data_prefix)) {
        return;
    }
    line.remove_prefix(data_prefix.size());
    if (line == end_mark) {
        m_has_ended = true;
        return;
    }
    const auto found = line.find(content_key);
    if (found == std::string_view::npos) {
        m_has_error = m_has_error || line.find(error_key) != std::string_view::npos;
        return;
    }
    // The stand-in engine's tokens contain no characters that JSON escapes, so the next quote ends the text.
    const auto begin = found + content_key.size();
    m_text += line.substr(begin, line.find('"', begin) - begin);
    m_token_times.push_back(now);
}

double event_reader::gap_percentile() const {
    if (m_token_times.size() < 2) {
        return 0;
    }
    std::vector<double> gaps;
    gaps.reserve(m_token_times.size() - 1);
    for (std::size_t index = 1; index < m_token_times.size(); ++index) {
        const std::chrono::duration<double, std::milli> gap = m_token_times[index] - m_token_times[index - 1];
        gaps.push_back(gap.count());
    }
    const auto place = std::min(gaps.size() - 1, static_cast<std::size_t>(gap_quantile * gaps.size()));
    std::ranges::nth_element(gaps, gaps.begin() + static_cast<std::ptrdiff_t>(place));
    return gaps[place];
}

} // namespace borageford::test

// Composes events, and finds the versions in them.
#include "emulator/event_text.hpp"

namespace borageford::emulator {

namespace {

/// Precedes the software version in an event.
constexpr std::string_view author_mark = " by ";

} // namespace

std::string describe_event(std::uint64_t number, std::string_view software, std::size_t padding) {
    const auto digits = std::to_string(number);
    auto text = "id: " + digits + "\ndata: token " + digits;
    if (!software.empty()) {
        text.append(author_mark).append(software);
    }
    if (padding > 0) {
        text += "\n: " + std::string(padding, ' '); // a comment
    }
    return text + "\n\n";
}

std::set<std::string, std::less<>> software_in(std::string_view events) {
    std::set<std::string, std::less<>> result;
    for (auto at = events.find(author_mark); at != std::string_view::npos;
         at = events.find(author_mark, at + 1)) {
        const auto begin = at + author_mark.size();
        result.emplace(events.substr(begin, events.find('\n', begin) - begin));
    }
    return result;
}

} // namespace borageford::emulator

// Encodes plans as JSON objects and edits single lines of an intent file.
#include "configuration/plan.hpp"

#include "settings/ini_document.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace borageford::configuration {

namespace json = boost::json;

namespace {

std::vector<std::string> split_lines(std::string_view text) {
    std::vector<std::string> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string join_lines(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text.append(line).append("\n");
    }
    return text;
}

} // namespace

std::string encode(const plan& what) {
    json::object object{{"id", what.id},
                        {"base", what.base},
                        {"operator", what.operator_name},
                        {"time", what.time},
                        {"text", what.text}};
    object["changes"] = json::value_from(what.changes);
    object["warnings"] = json::value_from(what.warnings);
    return json::serialize(object);
}

plan decode_plan(std::string_view bytes) {
    try {
        const auto from = json::parse(bytes);
        plan what;
        what.id = json::value_to<std::string>(from.at("id"));
        what.base = from.at("base").to_number<revision_number>();
        what.operator_name = json::value_to<std::string>(from.at("operator"));
        what.time = json::value_to<std::string>(from.at("time"));
        what.text = json::value_to<std::string>(from.at("text"));
        what.changes = json::value_to<std::vector<std::string>>(from.at("changes"));
        what.warnings = json::value_to<std::vector<std::string>>(from.at("warnings"));
        return what;
    } catch (const std::exception& error) {
        throw std::runtime_error(std::string("a plan that can't be read: ") + error.what());
    }
}

std::optional<std::string> set_drained(std::string_view text, std::string_view backend_server, bool drained) {
    std::vector<settings::problem> ignored;
    const auto document = settings::parse_ini(text, "", ignored);
    const auto section = std::ranges::find_if(document.sections, [&](const settings::ini_section& candidate) {
        return candidate.kind == "backend_server" && candidate.name == backend_server;
    });
    if (section == document.sections.end()) {
        return std::nullopt;
    }
    auto lines = split_lines(text);
    const std::string line = drained ? "drained = yes" : "drained = no";
    const auto* entry = section->find("drained");
    if (entry != nullptr) {
        lines.at(entry->line - 1) = line;
    } else {
        lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(section->line), line);
    }
    return join_lines(lines);
}

std::string current_time_text() {
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t longest = 40;
    std::array<char, longest> buffer{};
    const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(milliseconds);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(buffer.data(), length) + "." + fraction + "Z";
}

} // namespace borageford::configuration

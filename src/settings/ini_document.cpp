// A parser for INI files. Boost.PropertyTree's INI parser doesn't keep line numbers, which every reported
// problem must contain; the format is simple enough to be parsed here.
#include "settings/ini_document.hpp"

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <ostream>
#include <set>
#include <system_error>
#include <utility>

namespace borageford::settings {
namespace {

constexpr std::string_view whitespace = " \t\r";

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(whitespace);
    return text.substr(first, last - first + 1);
}

bool has_control_character(std::string_view text) {
    return std::ranges::any_of(text, [](unsigned char c) { return c < ' ' && c != '\t'; });
}

/// Parses a document line by line and collects the problems found.
class ini_reader {
public:
    ini_reader(ini_document& document, std::vector<problem>& problems)
        : m_document(document), m_problems(problems) {}

    void read_line(std::string_view raw) {
        ++m_line;
        const auto line = trim(raw);
        if (line.empty() || line.front() == ';' || line.front() == '#') {
            return;
        }
        if (has_control_character(line)) {
            report_problem("", "text without control characters");
        } else if (line.front() == '[') {
            read_section(line);
        } else {
            read_entry(line);
        }
    }

private:
    void report_problem(std::string key, std::string expected) {
        m_problems.push_back({m_document.file, m_line, std::move(key), std::move(expected)});
    }

    void read_section(std::string_view line) {
        m_section_is_usable = false;
        if (line.back() != ']') {
            report_problem(std::string(line), "a section header closed by ]");
            return;
        }
        const auto title = trim(line.substr(1, line.size() - 2));
        if (title.empty()) {
            report_problem("[]", "a section kind between [ and ]");
            return;
        }
        const auto space = title.find_first_of(whitespace);
        ini_section section{std::string(title.substr(0, space)), "", m_line, {}};
        if (space != std::string_view::npos) {
            section.name = trim(title.substr(space));
        }
        if (!m_titles.insert(section.title()).second) {
            report_problem(section.title(), "each section once");
            return;
        }
        m_keys.clear();
        m_document.sections.push_back(std::move(section));
        m_section_is_usable = true;
    }

    void read_entry(std::string_view line) {
        const auto equals = line.find('=');
        const auto key = trim(line.substr(0, equals));
        if (equals == std::string_view::npos || key.empty()) {
            report_problem(std::string(line), "key = value");
            return;
        }
        if (m_document.sections.empty()) {
            report_problem(std::string(key), "a [section] before the first key");
            return;
        }
        if (!m_section_is_usable) {
            return; // a problem with the section's header has been reported already
        }
        auto& section = m_document.sections.back();
        if (!m_keys.emplace(key).second) {
            report_problem(section.title() + "." + std::string(key), "each key once in its section");
            return;
        }
        section.entries.push_back({std::string(key), std::string(trim(line.substr(equals + 1))), m_line});
    }

    ini_document& m_document;
    std::vector<problem>& m_problems;
    unsigned m_line = 0;
    // Sets, because comparing each title and key with all earlier ones took minutes for a large file.
    std::set<std::string> m_titles; ///< titles of all sections read so far
    std::set<std::string> m_keys;   ///< keys read so far in the current section
    bool m_section_is_usable = false;
};

} // namespace

std::string problem::to_string() const {
    std::string text = file;
    if (line > 0) {
        text += ":" + std::to_string(line);
    }
    if (!key.empty()) {
        text += ": " + key;
    }
    return text + ": expected " + expected;
}

void print_problems(const std::vector<problem>& problems, std::ostream& out) {
    for (const auto& problem : problems) {
        out << problem.to_string() << '\n';
    }
}

std::string ini_section::title() const {
    return name.empty() ? kind : kind + " " + name;
}

const ini_entry* ini_section::find(std::string_view key) const {
    const auto found = std::ranges::find(entries, key, &ini_entry::key);
    return found == entries.end() ? nullptr : &*found;
}

ini_document parse_ini(std::string_view text, std::string_view file, std::vector<problem>& problems) {
    ini_document document{std::string(file), {}};
    if (text.size() > text_limit) {
        problems.push_back({document.file, 0, "", "at most " + std::to_string(text_limit) + " bytes"});
        return document;
    }
    ini_reader reader(document, problems);
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        reader.read_line(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return document;
}

std::string read_file(const std::string& path, std::vector<problem>& problems) {
    std::ifstream stream(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.is_open() || stream.bad()) {
        problems.push_back({path, 0, "", "a readable file (" + std::generic_category().message(errno) + ")"});
        return {};
    }
    return text;
}

} // namespace borageford::settings

// Splits the command line into names and values and records which names the program has read.
#include "support/argument_reader.hpp"

#include <stdexcept>

namespace borageford::test {

argument_reader::argument_reader(int count, const char* const* arguments) {
    for (int index = 1; index < count; ++index) {
        const std::string text = arguments[index];
        if (!text.starts_with("--")) {
            throw std::invalid_argument("expected --name, got " + text);
        }
        const auto equals = text.find('=');
        if (equals != std::string::npos) {
            m_arguments[text.substr(2, equals - 2)].value = text.substr(equals + 1);
            continue;
        }
        auto& value = m_arguments[text.substr(2)].value;
        const bool has_value = index + 1 < count && !std::string_view(arguments[index + 1]).starts_with("--");
        if (has_value) {
            value = arguments[++index];
        }
    }
}

std::string argument_reader::text(std::string_view name, std::string_view fallback) {
    const auto* found = find(name);
    return found == nullptr ? std::string(fallback) : found->value;
}

double argument_reader::number(std::string_view name, double fallback) {
    const auto* found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    std::size_t used = 0;
    const double value = std::stod(found->value, &used);
    if (used != found->value.size()) {
        throw std::invalid_argument("--" + std::string(name) + " expects a number, got " + found->value);
    }
    return value;
}

bool argument_reader::is_set(std::string_view name) {
    const auto* found = find(name);
    return found != nullptr && found->value != "false";
}

void argument_reader::finish() const {
    for (const auto& [name, argument] : m_arguments) {
        if (!argument.known) {
            throw std::invalid_argument("unknown argument --" + name);
        }
    }
}

argument_reader::argument* argument_reader::find(std::string_view name) {
    const auto found = m_arguments.find(name);
    if (found == m_arguments.end()) {
        return nullptr;
    }
    found->second.known = true;
    return &found->second;
}

} // namespace borageford::test

// Implements the registry: it stores metric families by name, each with one member per set of label values,
// and writes the text exposition.
#include "metrics/registry.hpp"

#include "metrics/histogram_state.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <stdexcept>
#include <variant>

namespace borageford::metrics {
namespace {

/// The label value of the member that collects samples when a family is full.
constexpr std::string_view overflow_value = "other";
/// Appended to a histogram's name for its quantiles. The exposition format allows only one type per family,
/// so they are written as a family of gauges.
constexpr const char* quantile_suffix = "_quantile";

/// The function that returns a gauge's value. Shared, so that it can be called while add_gauge() replaces it.
using gauge_reader = std::shared_ptr<const std::function<double()>>;
using metric = std::variant<std::unique_ptr<counter>, std::unique_ptr<histogram>, gauge_reader>;

enum class metric_type : std::uint8_t { counter, histogram, gauge };

std::string_view to_string(metric_type type) {
    switch (type) {
    case metric_type::counter:
        return "counter";
    case metric_type::histogram:
        return "histogram";
    case metric_type::gauge:
        break;
    }
    return "gauge";
}

std::string format_number(double value) {
    std::array<char, 32> text{};
    const auto written = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), written.ptr};
}

/// Whether every collector accepts the name: ASCII letters, digits and underscores, not beginning with a
/// digit.
bool is_valid_name(std::string_view name) {
    const auto is_allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '_';
    };
    const bool starts_with_digit = !name.empty() && name.front() >= '0' && name.front() <= '9';
    return !name.empty() && !starts_with_digit && std::ranges::all_of(name, is_allowed);
}

/// Escapes a help text or a label value as the exposition format requires. Without it, a workspace name that
/// contains a quote or a line break could add forged lines to the exposition.
void append_escaped(std::string& out, std::string_view value, bool is_label) {
    for (const char letter : value) {
        if (letter == '\n') {
            out += "\\n";
            continue;
        }
        if (letter == '\\' || (is_label && letter == '"')) {
            out += '\\';
        }
        out += letter;
    }
}

/// Formats labels as `name="value",name="value"`. The result is also the key of the member in its family.
/// Throws std::invalid_argument for an invalid label name.
std::string render_labels(const labels& label_set) {
    std::string out;
    for (const auto& [name, value] : label_set) {
        if (!is_valid_name(name)) {
            throw std::invalid_argument("invalid label name: " + name);
        }
        if (!out.empty()) {
            out += ',';
        }
        out.append(name).append("=\"");
        append_escaped(out, value, true);
        out += '"';
    }
    return out;
}

/// Formats the labels of a family's overflow member, whose label values are all `overflow_value`.
std::string render_overflow_labels(const labels& label_set) {
    labels overflow = label_set;
    for (auto& [name, value] : overflow) {
        value = overflow_value;
    }
    return render_labels(overflow);
}

void append_sample(std::string& out, std::string_view name, std::string_view labels_text,
                   std::string_view value) {
    out.append(name);
    if (!labels_text.empty()) {
        out.append("{").append(labels_text).append("}");
    }
    out.append(" ").append(value).append("\n");
}

std::string with_label(std::string_view labels_text, std::string_view name, std::string_view value) {
    std::string out(labels_text);
    if (!out.empty()) {
        out += ',';
    }
    return out.append(name).append("=\"").append(value).append("\"");
}

void append_heading(std::string& out, std::string_view name, std::string_view help, std::string_view type) {
    out.append("# HELP ").append(name).append(" ");
    append_escaped(out, help, false);
    out.append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void append_buckets(std::string& out, const std::string& name, std::string_view labels_text,
                    const histogram_summary& summary) {
    for (std::size_t index = 0; index < bucket_bounds.size(); ++index) {
        append_sample(out, name + "_bucket",
                      with_label(labels_text, "le", format_number(bucket_bounds.at(index))),
                      std::to_string(summary.cumulative.at(index)));
    }
    append_sample(out, name + "_bucket", with_label(labels_text, "le", "+Inf"),
                  std::to_string(summary.count));
    append_sample(out, name + "_sum", labels_text, format_number(summary.sum));
    append_sample(out, name + "_count", labels_text, std::to_string(summary.count));
}

/// A member of a family as copied for the exposition, which is written without holding the registry's lock
/// because a gauge may call any code.
struct exported_member {
    std::string labels_text;
    std::variant<const counter*, const histogram*, gauge_reader> value;
};

/// A family as copied for the exposition.
struct exported_family {
    std::string name;
    std::string help;
    metric_type type = metric_type::counter;
    std::vector<exported_member> members;
};

} // namespace

histogram::histogram() : m_state(std::make_unique<state>()) {}

histogram::~histogram() = default;

void histogram::record(double seconds) {
    m_state->record(seconds);
}

std::uint64_t histogram::count() const {
    return m_state->summary().count;
}

double histogram::quantile(double fraction) const {
    return m_state->quantile(fraction);
}

/// The data behind a registry.
///
/// Invariants: a family's type never changes; members are never removed, so references to them stay valid.
struct registry::state {
    struct family {
        std::string help;
        metric_type type = metric_type::counter;
        std::map<std::string, metric, std::less<>> members;
    };

    mutable std::shared_mutex mutex;
    std::map<std::string, family, std::less<>> families;

    /// The member with these labels; null when there is none. Throws std::logic_error when the family has
    /// another type.
    const metric* find(std::string_view name, metric_type type, std::string_view labels_text) const {
        const std::shared_lock lock(mutex);
        const auto found = families.find(name);
        if (found == families.end()) {
            return nullptr;
        }
        require_type(found->first, found->second, type);
        const auto member = found->second.members.find(labels_text);
        return member == found->second.members.end() ? nullptr : &member->second;
    }

    /// Returns the member with these labels and creates an empty one if necessary. When the family already
    /// has `max_label_sets` members, returns its overflow member instead. The caller must hold the lock.
    metric& emplace(std::string_view name, std::string_view help, metric_type type, const labels& label_set) {
        if (!is_valid_name(name)) {
            throw std::invalid_argument("invalid metric name: " + std::string(name));
        }
        auto& group =
            families.try_emplace(std::string(name), family{std::string(help), type, {}}).first->second;
        require_type(name, group, type);
        const auto labels_text = render_labels(label_set);
        if (const auto member = group.members.find(labels_text); member != group.members.end()) {
            return member->second;
        }
        const bool is_full = group.members.size() >= max_label_sets;
        return group.members[is_full ? render_overflow_labels(label_set) : labels_text];
    }

    /// Returns the counter or histogram with these labels and creates it if necessary.
    template <typename Metric>
    Metric& get(std::string_view name, std::string_view help, metric_type type, const labels& label_set) {
        if (const auto* found = find(name, type, render_labels(label_set))) {
            return *std::get<std::unique_ptr<Metric>>(*found);
        }
        const std::unique_lock lock(mutex);
        auto& place = emplace(name, help, type, label_set);
        auto* held = std::get_if<std::unique_ptr<Metric>>(&place);
        if (held == nullptr || *held == nullptr) {
            place = std::make_unique<Metric>();
        }
        return *std::get<std::unique_ptr<Metric>>(place);
    }

    static void require_type(std::string_view name, const family& group, metric_type type) {
        if (group.type != type) {
            throw std::logic_error("metric used with two types: " + std::string(name));
        }
    }

    std::vector<exported_family> collect() const {
        const std::shared_lock lock(mutex);
        std::vector<exported_family> out;
        for (const auto& [name, group] : families) {
            exported_family exported{name, group.help, group.type, {}};
            for (const auto& [labels_text, value] : group.members) {
                exported.members.push_back({labels_text, to_exported(value)});
            }
            out.push_back(std::move(exported));
        }
        return out;
    }

    static std::variant<const counter*, const histogram*, gauge_reader> to_exported(const metric& value) {
        if (const auto* held = std::get_if<std::unique_ptr<counter>>(&value)) {
            return held->get();
        }
        if (const auto* held = std::get_if<std::unique_ptr<histogram>>(&value)) {
            return held->get();
        }
        return std::get<gauge_reader>(value);
    }

    static void append_member(std::string& out, std::string& quantiles, const std::string& name,
                              const exported_member& member) {
        if (const auto* const* held = std::get_if<const counter*>(&member.value)) {
            append_sample(out, name, member.labels_text, std::to_string((*held)->value()));
            return;
        }
        if (const auto* reader = std::get_if<gauge_reader>(&member.value)) {
            append_sample(out, name, member.labels_text, format_number((**reader)()));
            return;
        }
        const auto& held = *std::get<const histogram*>(member.value);
        append_buckets(out, name, member.labels_text, held.m_state->summary());
        for (const double fraction : estimated_quantiles) {
            append_sample(quantiles, name + quantile_suffix,
                          with_label(member.labels_text, "quantile", format_number(fraction)),
                          format_number(held.quantile(fraction)));
        }
    }
};

registry::registry() : m_state(std::make_unique<state>()) {}

registry::~registry() = default;

counter& registry::get_counter(std::string_view name, std::string_view help, const labels& label_set) {
    return m_state->get<counter>(name, help, metric_type::counter, label_set);
}

histogram& registry::get_histogram(std::string_view name, std::string_view help, const labels& label_set) {
    return m_state->get<histogram>(name, help, metric_type::histogram, label_set);
}

void registry::add_gauge(std::string_view name, std::string_view help, const labels& label_set,
                         std::function<double()> read) {
    auto reader = std::make_shared<const std::function<double()>>(std::move(read));
    const std::unique_lock lock(m_state->mutex);
    m_state->emplace(name, help, metric_type::gauge, label_set) = std::move(reader);
}

std::string registry::exposition() const {
    std::string out;
    for (const auto& family : m_state->collect()) {
        append_heading(out, family.name, family.help, to_string(family.type));
        std::string quantiles;
        for (const auto& member : family.members) {
            state::append_member(out, quantiles, family.name, member);
        }
        if (family.type == metric_type::histogram) {
            append_heading(out, family.name + quantile_suffix, family.help + " Estimated quantiles.",
                           to_string(metric_type::gauge));
            out += quantiles;
        }
    }
    return out;
}

} // namespace borageford::metrics

// Compares two configurations: turns each object into a list of labelled text values and compares the lists.
#include "configuration/difference.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace borageford::configuration {
namespace {

/// One property of an object, as text.
struct labelled_value {
    std::string_view label;
    std::string value;
};

using labelled_values = std::vector<labelled_value>;

std::string join(const std::vector<std::string>& names) {
    std::string text;
    for (const auto& name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text.empty() ? "none" : text;
}

std::string to_text(double value) {
    constexpr std::size_t longest = 32;
    std::array<char, longest> digits{};
    const auto result = std::to_chars(digits.begin(), digits.end(), value);
    return {digits.data(), result.ptr};
}

std::string limit_text(double value) {
    return value == 0 ? "no limit" : to_text(value);
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

std::string to_text(std::chrono::milliseconds value) {
    return std::to_string(value.count()) + "ms";
}

labelled_values values_of(const tier& item) {
    return {{"rank", std::to_string(item.rank)},
            {"first token within", to_text(item.first_token_target)},
            {"time between tokens", to_text(item.between_tokens_target)}};
}

labelled_values values_of(const workspace& item) {
    return {{"tier", item.tier},
            {"requests per second", limit_text(item.requests_per_second)},
            {"request burst", item.request_burst == 0 ? "one second's worth" : to_text(item.request_burst)},
            {"tokens per second", limit_text(item.tokens_per_second)},
            {"concurrent requests", limit_text(item.concurrent_requests)}};
}

labelled_values values_of(const model& item) {
    return {{"version", item.version},
            {"adapters", join(item.adapters)},
            {"context tokens", std::to_string(item.context_tokens)},
            {"expected output tokens", std::to_string(item.expected_output_tokens)}};
}

labelled_values values_of(const service& /*item*/) {
    return {};
}

labelled_values values_of(const backend_server& item) {
    return {{"kind", item.kind == backend_kind::engine ? "engine" : "service"},
            {"failure domain", item.failure_domain},
            {"models", join(item.models)},
            {"services", join(item.services)},
            {"adapters", join(item.adapters)},
            {"role", item.role.empty() ? "as it is" : item.role},
            {"slots", std::to_string(item.slots)},
            {"checks fencing numbers", yes_or_no(item.checks_fencing)},
            {"drained", yes_or_no(item.drained)}};
}

labelled_values values_of(const route& item) {
    return {{"workspace", item.workspace == "*" ? "every one" : item.workspace},
            {"tiers", item.tiers.empty() ? "every one" : join(item.tiers)},
            {"model", item.model.empty() ? "none" : item.model},
            {"service", item.service.empty() ? "none" : item.service},
            {"idempotent", yes_or_no(item.idempotent)}};
}

/// Whether the field is unset. An "add" line names only the fields that are set.
bool is_unset(const labelled_value& field) {
    return field.value == "none" || field.value == "as it is" || field.value == "no limit";
}

std::string describe_values(const labelled_values& fields) {
    std::string text;
    for (const auto& field : fields) {
        if (is_unset(field)) {
            continue;
        }
        text += text.empty() ? ": " : "; ";
        text.append(field.label).append(" ").append(field.value);
    }
    return text;
}

template <typename Item>
const Item* find_item(const std::vector<Item>& items, const std::string& name) {
    const auto found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

/// Collects one line for each difference between two configurations.
class change_writer {
public:
    template <typename Item>
    void compare(std::string_view kind, const std::vector<Item>& before, const std::vector<Item>& after) {
        for (const auto& item : before) {
            if (find_item(after, item.name) == nullptr) {
                write("remove", kind, item.name, "");
            }
        }
        for (const auto& item : after) {
            const auto* old = find_item(before, item.name);
            if (old == nullptr) {
                write("add", kind, item.name, describe_values(values_of(item)));
            } else {
                compare_fields(kind, item.name, values_of(*old), values_of(item));
            }
        }
    }

    void compare_keys(const configuration& before, const configuration& after) {
        for (const auto& item : after.workspaces) {
            const auto* old = before.find_workspace(item.name);
            if (old != nullptr) {
                write_key_changes(*old, item);
            }
        }
    }

    /// Adds a line if the routes that both configurations have are in a different order: the first route that
    /// matches a request applies to it, so a new order changes which requests are allowed.
    void compare_route_order(const configuration& before, const configuration& after) {
        std::vector<std::string> old_order;
        std::vector<std::string> new_order;
        for (const auto& item : before.routes) {
            if (find_item(after.routes, item.name) != nullptr) {
                old_order.push_back(item.name);
            }
        }
        for (const auto& item : after.routes) {
            if (find_item(before.routes, item.name) != nullptr) {
                new_order.push_back(item.name);
            }
        }
        if (old_order != new_order) {
            m_lines.push_back("change the order of routes to " + join(new_order));
        }
    }

    [[nodiscard]] std::vector<std::string> take() { return std::move(m_lines); }

private:
    void write(std::string_view verb, std::string_view kind, std::string_view name,
               const std::string& details) {
        std::string line(verb);
        line.append(" ").append(kind).append(" ").append(name).append(details);
        m_lines.push_back(std::move(line));
    }

    void compare_fields(std::string_view kind, std::string_view name, const labelled_values& before,
                        const labelled_values& after) {
        for (std::size_t index = 0; index < after.size(); ++index) {
            if (before[index].value != after[index].value) {
                write("change", kind, name,
                      ": " + std::string(after[index].label) + " from " + before[index].value + " to " +
                          after[index].value);
            }
        }
    }

    void write_key_changes(const workspace& before, const workspace& after) {
        const auto count_missing = [](const workspace& from, const workspace& in) {
            return std::ranges::count_if(from.key_hashes, [&in](const std::string& hash) {
                return std::ranges::find(in.key_hashes, hash) == in.key_hashes.end();
            });
        };
        const auto removed = count_missing(before, after);
        const auto added = count_missing(after, before);
        if (added != 0 || removed != 0) {
            write("change", "workspace", after.name,
                  ": " + std::to_string(added) + " API keys added, " + std::to_string(removed) + " removed");
        }
    }

    std::vector<std::string> m_lines;
};

/// Collects warnings about the effects of a change. Each check is a member function that compares the two
/// configurations.
class warning_writer {
public:
    warning_writer(const configuration& before, const configuration& after,
                   std::span<const workspace_use> use)
        : m_before(before), m_after(after), m_use(use) {}

    [[nodiscard]] std::vector<std::string> write() {
        for (const auto& item : m_after.models) {
            check_target("model", item.name, false);
        }
        for (const auto& item : m_after.services) {
            check_target("service", item.name, true);
        }
        for (const auto& item : m_after.workspaces) {
            check_routes(item);
            check_limits(item);
            check_tier(item);
        }
        check_removed();
        check_backend_servers();
        return std::move(m_lines);
    }

private:
    void warn(std::string line) { m_lines.push_back(std::move(line)); }

    static std::vector<std::string> domains_of(const configuration& in, const std::string& target,
                                               bool is_service) {
        std::vector<std::string> domains;
        for (const auto& server : in.backend_servers) {
            if (!server.drained && configuration::serves(server, target, is_service)) {
                domains.push_back(server.failure_domain);
            }
        }
        std::ranges::sort(domains);
        const auto repeated = std::ranges::unique(domains);
        domains.erase(repeated.begin(), repeated.end());
        return domains;
    }

    void check_target(const std::string& kind, const std::string& name, bool is_service) {
        const auto now = domains_of(m_after, name, is_service);
        const auto earlier = domains_of(m_before, name, is_service);
        if (now.empty()) {
            warn(kind + " " + name + (earlier.empty() ? " has no" : " is left without a") +
                 " backend server that takes work: its requests will be refused");
        } else if (now.size() == 1 && earlier.size() > 1) {
            warn(kind + " " + name + " is left in a single failure domain, " + now.front());
        }
    }

    static bool has_route(const configuration& in, const workspace& item) {
        return std::ranges::any_of(in.routes, [&item](const route& candidate) {
            return candidate.workspace == "*" || candidate.workspace == item.name;
        });
    }

    void check_routes(const workspace& item) {
        if (has_route(m_after, item)) {
            return;
        }
        const bool is_loss = m_before.find_workspace(item.name) != nullptr && has_route(m_before, item);
        warn("workspace " + item.name + (is_loss ? " loses its last route" : " has no route") +
             ": all its requests will be refused");
    }

    void check_limits(const workspace& item) {
        const auto* old = m_before.find_workspace(item.name);
        const auto found = std::ranges::find(m_use, item.name, &workspace_use::workspace);
        const workspace_use use = found == m_use.end() ? workspace_use() : *found;
        const workspace none;
        const auto& earlier = old == nullptr ? none : *old;
        check_limit(item.name, "requests per second", earlier.requests_per_second, item.requests_per_second,
                    use.requests_per_second);
        check_limit(item.name, "tokens per second", earlier.tokens_per_second, item.tokens_per_second,
                    use.tokens_per_second);
        check_limit(item.name, "concurrent requests", earlier.concurrent_requests, item.concurrent_requests,
                    use.concurrent_requests);
    }

    void check_limit(const std::string& name, const std::string& label, double before, double after,
                     double use) {
        const bool is_known = m_before.find_workspace(name) != nullptr;
        const bool is_lowered = is_known && after != 0 && (before == 0 || after < before);
        const bool is_below_use = after != 0 && use > after;
        if (!is_lowered && !is_below_use) {
            return;
        }
        std::string line = "workspace " + name + ": " + label;
        if (is_lowered) {
            line += " lowered from " + limit_text(before) + " to " + limit_text(after);
        } else {
            line += " " + limit_text(after);
        }
        if (is_below_use) {
            line += ", under its present use of " + to_text(use);
        }
        warn(std::move(line));
    }

    void check_tier(const workspace& item) {
        const auto* old = m_before.find_workspace(item.name);
        if (old == nullptr || old->tier == item.tier) {
            return;
        }
        const auto* old_tier = m_before.find_tier(old->tier);
        const auto* new_tier = m_after.find_tier(item.tier);
        if (old_tier != nullptr && new_tier != nullptr && new_tier->rank > old_tier->rank) {
            warn("workspace " + item.name + " moves to a lower tier, from " + old->tier + " to " + item.tier);
        }
    }

    void check_removed() {
        for (const auto& item : m_before.workspaces) {
            if (m_after.find_workspace(item.name) == nullptr) {
                warn("workspace " + item.name + " is removed: its callers will be refused");
            }
        }
        for (const auto& item : m_before.tiers) {
            if (m_after.find_tier(item.name) == nullptr) {
                check_removed_tier(item);
            }
        }
        for (const auto& item : m_before.models) {
            if (m_after.find_model(item.name) == nullptr) {
                warn("model " + item.name + " is removed: requests for it will be refused");
            }
        }
        for (const auto& item : m_before.services) {
            if (m_after.find_service(item.name) == nullptr) {
                warn("service " + item.name + " is removed: calls of it will be refused");
            }
        }
    }

    void check_removed_tier(const tier& item) {
        std::vector<std::string> users;
        for (const auto& user : m_before.workspaces) {
            if (user.tier == item.name) {
                users.push_back(user.name);
            }
        }
        if (!users.empty()) {
            warn("tier " + item.name + " is removed while in use by " + join(users));
        }
    }

    void check_backend_servers() {
        for (const auto& item : m_before.backend_servers) {
            const auto* now = m_after.find_backend_server(item.name);
            if (now == nullptr && !item.drained) {
                warn("backend server " + item.name + " is removed without having been drained first");
            } else if (now != nullptr && item.drained && !now->drained) {
                warn("the drain of backend server " + item.name + " is lifted: it takes new work again");
            }
        }
    }

    const configuration& m_before;
    const configuration& m_after;
    std::span<const workspace_use> m_use;
    std::vector<std::string> m_lines;
};

} // namespace

std::vector<std::string> describe_changes(const configuration& before, const configuration& after) {
    change_writer writer;
    writer.compare("tier", before.tiers, after.tiers);
    writer.compare("model", before.models, after.models);
    writer.compare("service", before.services, after.services);
    writer.compare("workspace", before.workspaces, after.workspaces);
    writer.compare_keys(before, after);
    writer.compare("backend server", before.backend_servers, after.backend_servers);
    writer.compare("route", before.routes, after.routes);
    writer.compare_route_order(before, after);
    return writer.take();
}

std::vector<std::string> describe_warnings(const configuration& before, const configuration& after,
                                           std::span<const workspace_use> use) {
    return warning_writer(before, after, use).write();
}

} // namespace borageford::configuration

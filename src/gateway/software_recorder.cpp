// Reads and writes one row of the store, under the condition that nobody else has written it since.
#include "gateway/software_recorder.hpp"

#include "base/parse_number.hpp"
#include "base/pause.hpp"
#include "events/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <exception>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

namespace {

constexpr std::string_view row_key = "software/versions";
/// Time between two looks whether the record has to be read or written. A version serves streams for longer
/// than this before they break off.
constexpr std::chrono::milliseconds period{100};
/// Time after a call that failed. All gateways may have started while the store was unavailable.
constexpr std::chrono::milliseconds retry_delay{2000};
/// Time until a record that isn't there yet is read again. All gateways may have to.
constexpr std::chrono::milliseconds missing_record_delay{1000};
/// Recorded for a version that nobody knows.
constexpr policy::software_key unknown_version = 0;

std::string encode(const policy::software_versions& versions) {
    json::object services;
    for (const auto& [service, each] : versions) {
        json::array list;
        for (const auto software : each) {
            list.push_back(software);
        }
        services.emplace(std::to_string(service), std::move(list));
    }
    return json::serialize(services);
}

/// Throws std::exception for a row of another form.
policy::software_versions decode(std::string_view text) {
    policy::software_versions result;
    const auto parsed = json::parse(json::string_view(text.data(), text.size()));
    for (const auto& [service, list] : parsed.as_object()) {
        const auto key = parse_number<std::uint64_t>(std::string_view(service.data(), service.size()));
        if (!key.has_value()) {
            throw std::invalid_argument("a service isn't named by its key");
        }
        auto& versions = result[*key];
        for (const auto& software : list.as_array()) {
            versions.insert(software.to_number<std::uint64_t>());
        }
    }
    return result;
}

} // namespace

software_recorder::software_recorder(asio::any_io_executor executor, timer_service& timers,
                                     store::table& table, policy::software_history& history,
                                     std::chrono::milliseconds lifetime, bool is_first_start,
                                     environment surroundings)
    : m_executor(std::move(executor)),
      m_timers(timers),
      m_table(table),
      m_history(history),
      m_lifetime(lifetime),
      m_is_first_start(is_first_start),
      m_known_since(history.known_since()),
      m_must_read(!is_first_start),
      m_environment(std::move(surroundings)) {}

void software_recorder::start() {
    asio::co_spawn(m_executor, run(), asio::detached);
}

asio::awaitable<void> software_recorder::run() {
    for (;;) {
        bool has_failed = false;
        try {
            co_await update();
        } catch (const std::exception& error) {
            events::write(events::event_kind::software_not_recorded, {{"reason", error.what()}});
            has_failed = true;
            m_row.reset();
        }
        co_await pause(m_timers, has_failed ? retry_delay : period);
    }
}

asio::awaitable<void> software_recorder::update() {
    const bool is_coordinating = m_environment.is_coordinating();
    const auto known_before = std::exchange(m_known_since, m_history.known_since());
    m_must_read = m_must_read || m_known_since != known_before;
    // By then this process has itself known all versions that matter.
    m_must_read = m_must_read && steady_clock::now() - m_known_since <= m_lifetime;
    if (!is_coordinating || (m_row.has_value() && m_row->era != m_environment.store_era())) {
        m_row.reset(); // another process may write, or the store was restored from an older copy
    }
    if (!is_coordinating) {
        m_unseen.clear(); // another process may have recorded a version again
    }
    // What the coordinator itself has written doesn't tell it what it has missed.
    m_must_read = m_must_read && !m_row.has_value();
    const bool is_due = m_must_read && steady_clock::now() >= m_next_read;
    if (is_due || (is_coordinating && !m_row.has_value())) {
        co_await read();
    }
    if (!is_coordinating || !m_row.has_value()) {
        co_return;
    }
    auto wanted = choose_versions();
    if (wanted != m_row->versions) {
        co_await write(std::move(wanted));
    }
}

asio::awaitable<void> software_recorder::read() {
    const auto era = m_environment.store_era();
    const auto row = co_await m_table.read(row_key);
    m_row = known_row{era, row.has_value() ? row->version : 0, {}};
    try {
        m_row->versions = row.has_value() ? decode(row->value) : list_unknown();
    } catch (const std::exception& error) {
        events::write(events::event_kind::software_not_recorded, {{"reason", error.what()}});
        m_row->versions = list_unknown();
    }
    m_must_read = m_is_first_start && !row.has_value();
    m_next_read = steady_clock::now() + missing_record_delay;
    for (const auto& [service, versions] : m_row->versions) {
        if (versions.size() == 1) {
            m_history.settle(service, *versions.begin(), steady_clock::now());
        }
    }
}

asio::awaitable<void> software_recorder::write(policy::software_versions wanted) {
    const std::string key(row_key);
    store::transaction change;
    change.conditions.push_back({key, m_row->version});
    change.puts.push_back({key, encode(wanted)});
    const auto result = co_await m_table.transact(change);
    if (!result.committed) {
        m_row.reset();
    } else {
        m_row->version = result.version;
        m_row->versions = std::move(wanted);
    }
}

/// Stands for a record that is missing or that another program has overwritten: besides the versions that
/// each service has, there may have been another one.
policy::software_versions software_recorder::list_unknown() const {
    policy::software_versions result;
    if (m_is_first_start) {
        return result; // the first coordinator writes it soon
    }
    for (const auto& [service, versions] : m_history.list(steady_clock::now())) {
        result[service].insert(unknown_version);
    }
    return result;
}

/// The versions to record: those that this process sees, and those of the record until they haven't been seen
/// for the lifetime.
policy::software_versions software_recorder::choose_versions() {
    const auto now = steady_clock::now();
    auto result = m_history.list(now);
    for (const auto& [service, versions] : m_row->versions) {
        for (const auto software : versions) {
            const std::pair unseen(service, software);
            if (result[service].contains(software)) {
                m_unseen.erase(unseen);
                continue;
            }
            const auto since = m_unseen.try_emplace(unseen, now).first->second;
            if (now - since <= m_lifetime) {
                result[service].insert(software);
            } else {
                m_unseen.erase(unseen);
            }
        }
    }
    std::erase_if(result, [](const auto& entry) { return entry.second.empty(); });
    return result;
}

} // namespace borageford::gateway

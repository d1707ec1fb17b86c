// Polls the platform's list of VMs and applies what changed.
#include "store/vm_directory.hpp"

#include "base/log.hpp"
#include "http/client.hpp"
#include "store/store_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <utility>

namespace borageford::store {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;

/// The text of a field; empty when the field is missing or isn't a string.
std::string text_of(const json::value& from, std::string_view key) {
    const auto* found = from.as_object().if_contains(key);
    return found == nullptr || !found->is_string() ? std::string() : json::value_to<std::string>(*found);
}

vm decode_vm(const json::value& from) {
    vm decoded;
    decoded.name = text_of(from, "name");
    decoded.address = http::parse_endpoint(text_of(from, "address"));
    decoded.role = text_of(from, "role") == "sidecar" ? vm_role::sidecar : vm_role::entry;
    decoded.failure_domain = text_of(from, "failure_domain");
    decoded.region = text_of(from, "region");
    decoded.backend_server = text_of(from, "backend_server");
    decoded.state = text_of(from, "state") == "leaving" ? vm_state::leaving : vm_state::live;
    return decoded;
}

/// Applies one entry of the list. A malformed entry is logged and skipped, so that the remaining entries
/// still count.
void apply_entry(vm_map& vms, const json::value& entry) {
    try {
        if (text_of(entry, "state") == "gone") {
            vms.erase(text_of(entry, "name"));
            return;
        }
        auto decoded = decode_vm(entry);
        vms.insert_or_assign(decoded.name, std::move(decoded));
    } catch (const std::exception& error) {
        log::warning("vm_entry_unreadable", {{"error", error.what()}});
    }
}

} // namespace

/// The state that the polls share. It lives until the last poll has ended.
///
/// Invariants: `version`, `reachable` and `changed` are accessed only on the strand. Only one poll runs at
/// a time, so changes are applied in the order of the list's versions.
struct vm_directory::state : std::enable_shared_from_this<vm_directory::state> {
    state(const asio::any_io_executor& executor, timer_service& given_timers,
          asio::ip::tcp::endpoint given_platform, std::chrono::milliseconds given_timeout,
          std::chrono::milliseconds given_period)
        : strand(asio::make_strand(executor)),
          timers(given_timers),
          platform(std::move(given_platform)),
          timeout(given_timeout),
          period(given_period) {}

    void begin_poll() {
        if (polling || stopped) {
            return;
        }
        polling = true;
        asio::co_spawn(strand, poll(shared_from_this()), asio::detached);
    }

    static asio::awaitable<void> poll(std::shared_ptr<state> self) {
        try {
            http::request call{"GET", "/vms?since=" + std::to_string(self->version), {}, ""};
            const auto answer = co_await call_store(self->strand, self->platform, self->timeout,
                                                    std::move(call), call_kind::read);
            if (answer.head.status != status_ok) {
                throw_unexpected_status("list of VMs", answer.head.status, call_kind::read);
            }
            self->apply(json::parse(answer.body));
            self->set_reachable(true, "");
        } catch (const std::exception& error) {
            self->set_reachable(false, error.what());
        }
        self->polling = false;
    }

    void apply(const json::value& answer) {
        const auto newer = answer.at("version").to_number<std::uint64_t>();
        const auto& entries = answer.at("vms").as_array();
        // A stale answer would add VMs again that have been removed.
        if (newer < version || entries.empty() || stopped) {
            return;
        }
        auto next = *vms.read();
        for (const auto& entry : entries) {
            apply_entry(next, entry);
        }
        version = newer;
        vms.replace(std::move(next));
        if (changed) {
            changed(vms.read());
        }
    }

    void set_reachable(bool now, const std::string& error) {
        if (now == reachable) {
            return;
        }
        reachable = now;
        if (now) {
            log::info("vm_list_reachable");
        } else {
            log::warning("vm_list_unreachable", {{"error", error}});
        }
    }

    asio::strand<asio::any_io_executor> strand;
    timer_service& timers;
    asio::ip::tcp::endpoint platform;
    std::chrono::milliseconds timeout;
    std::chrono::milliseconds period;
    change_listener changed;
    snapshot<vm_map> vms{vm_map()};
    std::uint64_t version = 0;
    bool reachable = true;
    bool polling = false;
    std::atomic<bool> stopped = false;
    timer_subscription timer;
};

vm_directory::vm_directory(asio::any_io_executor executor, timer_service& timers,
                           asio::ip::tcp::endpoint platform, std::chrono::milliseconds timeout,
                           std::chrono::milliseconds poll_period)
    : m_state(std::make_shared<state>(executor, timers, std::move(platform), timeout, poll_period)) {}

vm_directory::~vm_directory() {
    m_state->stopped = true;
    m_state->timer.cancel();
}

void vm_directory::start(change_listener changed) {
    asio::post(m_state->strand, [self = m_state, listener = std::move(changed)]() mutable {
        self->changed = std::move(listener);
        self->begin_poll();
    });
    m_state->timer = m_state->timers.every(m_state->strand, m_state->period, [weak = std::weak_ptr(m_state)] {
        if (const auto self = weak.lock()) {
            self->begin_poll();
        }
    });
}

std::shared_ptr<const vm_map> vm_directory::current() const noexcept {
    return m_state->vms.read();
}

} // namespace borageford::store

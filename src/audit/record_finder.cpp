// Implements `record_finder`: reads batches minute by minute, first those of the entry that made the request
// id, then those of the sidecars that the entry's records name.
#include "audit/record_finder.hpp"

#include "audit/batch.hpp"
#include "audit/request_description.hpp"
#include "audit/request_history.hpp"
#include "audit/request_identifier.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace borageford::audit {

namespace asio = boost::asio;
using time_point = std::chrono::system_clock::time_point;

namespace {

constexpr std::size_t page_size = 1000;
constexpr std::string_view entry_role = "entry";
constexpr std::string_view sidecar_role = "sidecar";

minute_point minute_of(time_point time) {
    return std::chrono::floor<std::chrono::minutes>(time);
}

std::string describe_writer(const batch_key& key) {
    return key.role + " " + key.writer;
}

} // namespace

/// One search: reads batches and collects the records that match a filter. Invariant: each object is read at
/// most once.
class record_finder::search {
public:
    using key_filter = std::function<bool(const batch_key&)>;
    using record_filter = std::function<bool(const record&)>;

    search(store::object_store& store, const record_finder_limits& limits, record_filter wanted)
        : m_store(store), m_limits(limits), m_wanted(std::move(wanted)) {}

    asio::awaitable<void> read_minute(std::string prefix, const key_filter& is_wanted) {
        std::string after;
        while (true) {
            const auto page = co_await m_store.list(prefix, after, page_size);
            for (const auto& object : page) {
                const auto key = batch_key::parse(object.key);
                if (key && is_wanted(*key)) {
                    co_await read_batch(*key, object.key);
                }
            }
            if (page.size() < page_size) {
                co_return;
            }
            after = page.back().key;
        }
    }

    [[nodiscard]] const search_result& found() const { return m_found; }

    [[nodiscard]] time_point last_record_time() const {
        time_point last;
        for (const auto& attributed : m_found.records) {
            last = std::max(last, attributed.audit_record.time);
        }
        return last;
    }

    search_result finish() {
        add_missing_batch_remarks();
        std::ranges::sort(m_found.records, {}, [](const attributed_record& attributed) {
            return std::pair(attributed.audit_record.time, attributed.role);
        });
        return std::move(m_found);
    }

    void remark(std::string sentence) {
        if (std::ranges::find(m_found.remarks, sentence) == m_found.remarks.end()) {
            m_found.remarks.push_back(std::move(sentence));
        }
    }

    [[nodiscard]] bool has_reached_limit() const { return m_found.objects_read >= m_limits.object_limit; }

private:
    asio::awaitable<void> read_batch(const batch_key& key, const std::string& name) {
        if (!m_read_objects.insert(name).second) {
            co_return;
        }
        m_sequences[{describe_writer(key), key.incarnation}].insert(key.sequence);
        if (has_reached_limit()) {
            remark("more than " + std::to_string(m_limits.object_limit) +
                   " batches would have to be read; those past that number were not.");
            co_return;
        }
        ++m_found.objects_read;
        const auto bytes = co_await m_store.get(name);
        if (!bytes) {
            remark("batch " + name + " was listed but is gone.");
            co_return;
        }
        try {
            add_records(key, decode_batch(*bytes));
        } catch (const batch_error& error) {
            remark("batch " + name + " can't be read: " + error.what() + ".");
        }
    }

    void add_records(const batch_key& key, batch content) {
        for (auto& audit_record : content.records) {
            if (audit_record.what == event::gap) {
                remark(describe_writer(key) + " lost records: from " + format_time(audit_record.time) + ", " +
                       audit_record.detail + ".");
            } else if (m_wanted(audit_record)) {
                m_found.records.push_back({std::move(audit_record), key.role, key.writer});
            }
        }
    }

    /// Adds a remark for each writer with missing batches. Sequence numbers have no gaps, so a missing number
    /// between two batches that were read belongs to a batch that was deleted, that the store lost or that
    /// backlog joined with a later gap.
    void add_missing_batch_remarks() {
        for (const auto& [writer, sequences] : m_sequences) {
            const auto expected = *sequences.rbegin() - *sequences.begin() + 1;
            if (expected != sequences.size()) {
                remark(std::to_string(expected - sequences.size()) + " batches of " + writer.first +
                       " between those read are not in the store.");
            }
        }
    }

    store::object_store& m_store;
    const record_finder_limits& m_limits;
    record_filter m_wanted;
    search_result m_found;
    std::set<std::string> m_read_objects;
    std::map<std::pair<std::string, identifier>, std::set<std::uint64_t>> m_sequences;
};

record_finder::record_finder(store::object_store& store, record_finder_limits limits, clock_reader now)
    : m_store(store), m_limits(limits), m_now(std::move(now)) {}

namespace {

const std::function<bool(const batch_key&)> every_batch = [](const batch_key&) {
    return true;
};

/// The backend servers named in the records found so far.
std::set<std::string> named_servers(const search_result& found) {
    std::set<std::string> out;
    for (const auto& attributed : found.records) {
        if (!attributed.audit_record.backend_server.empty()) {
            out.insert(attributed.audit_record.backend_server);
        }
    }
    return out;
}

/// Whether the records show how every attempt at this backend server ended, so that no later batches of its
/// sidecar have to be read.
bool all_attempts_ended(const request_history& history, const std::string& server) {
    return std::ranges::all_of(history.attempts, [&server](const attempt& offer) {
        return offer.backend_server != server || offer.ended || offer.has_been_withdrawn ||
               offer.was_pushed_out || offer.has_expired || (offer.refusal && offer.queued);
    });
}

} // namespace

/// Reads the batches of the entry that made the request id, until one shows the request's outcome. The id,
/// the records and the keys of the batches all contain times of this entry's clock, so the search starts at
/// the minute in the id, without allowing for clock differences.
asio::awaitable<void> record_finder::read_entry(search& current_search, request_id request,
                                                minute_point last) {
    const search::key_filter from_its_entry = [request](const batch_key& key) {
        return may_come_from(request, key.writer);
    };
    for (auto minute = minute_of(start_time(request)); minute <= last; minute += std::chrono::minutes(1)) {
        co_await current_search.read_minute(key_prefix(minute, entry_role), from_its_entry);
        if (make_history(request, current_search.found()).outcome) {
            co_return;
        }
    }
}

/// Reads the batches of each sidecar whose backend server the records name, until they show how all attempts
/// at that server ended.
asio::awaitable<void> record_finder::read_named_sidecars(search& current_search, request_id request,
                                                         minute_point last) {
    for (const auto& server : named_servers(current_search.found())) {
        for (auto minute = minute_of(start_time(request) - m_limits.clock_difference); minute <= last;
             minute += std::chrono::minutes(1)) {
            co_await current_search.read_minute(key_prefix(minute, sidecar_role, server), every_batch);
            if (all_attempts_ended(make_history(request, current_search.found()), server)) {
                break;
            }
        }
    }
}

/// Reads the batches of all sidecars around the start of the request. Needed if the entry crashed before it
/// wrote its records: nothing then shows which sidecars received the request.
asio::awaitable<void> record_finder::read_all_sidecars(search& current_search, request_id request,
                                                       minute_point last) {
    const auto start = start_time(request);
    const auto end = std::min(last, minute_of(start + m_limits.batch_delay + m_limits.clock_difference));
    for (auto minute = minute_of(start - m_limits.clock_difference); minute <= end;
         minute += std::chrono::minutes(1)) {
        co_await current_search.read_minute(key_prefix(minute, sidecar_role), every_batch);
    }
}

asio::awaitable<search_result> record_finder::find_request(request_id request) {
    const auto start = start_time(request);
    const auto now = m_now();
    search current_search(m_store, m_limits,
                          [&request](const record& audit_record) { return audit_record.request == request; });
    if (start > now + m_limits.clock_difference) {
        current_search.remark("this id doesn't carry a time that has come: no entry of this system made it.");
        co_return current_search.finish();
    }
    const auto last = minute_of(std::min(now + m_limits.clock_difference, start + m_limits.request_time));
    co_await read_entry(current_search, request, last);
    if (named_servers(current_search.found()).empty() &&
        !make_history(request, current_search.found()).outcome) {
        co_await read_all_sidecars(current_search, request, last);
    }
    co_await read_named_sidecars(current_search, request, last);
    add_remark_if_recent(current_search, std::max(start, current_search.last_record_time()), now);
    co_return current_search.finish();
}

asio::awaitable<search_result> record_finder::find_workspace(std::string workspace, time_point from,
                                                             time_point to) {
    const auto last_minute = minute_of(std::min(m_now(), to + m_limits.batch_delay));
    search current_search(m_store, m_limits, [&](const record& audit_record) {
        return (workspace.empty() || audit_record.workspace == workspace) && audit_record.time >= from &&
               audit_record.time <= to;
    });
    for (auto minute = minute_of(from); minute <= last_minute && !current_search.has_reached_limit();
         minute += std::chrono::minutes(1)) {
        co_await current_search.read_minute(key_prefix(minute, entry_role), every_batch);
    }
    add_remark_if_recent(current_search, to, m_now());
    co_return current_search.finish();
}

void record_finder::add_remark_if_recent(search& current_search, time_point last, time_point now) const {
    if (last + m_limits.batch_delay > now) {
        current_search.remark("records of the last " + std::to_string(m_limits.batch_delay.count()) +
                              " s may not be written yet; ask again.");
    }
}

} // namespace borageford::audit

// Implementation of fencing_lease: acquiring, renewing and releasing the right to give orders to an engine.
#include "sidecar/fencing_lease.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

} // namespace

std::string encode_fencing(const fencing_row& row) {
    return json::serialize(json::object{{"number", row.number},
                                        {"holder", row.holder.to_string()},
                                        {"lease_ms", row.lease.count()},
                                        {"released", row.is_released},
                                        {"writes", row.writes}});
}

fencing_row decode_fencing(std::string_view value) {
    try {
        const auto parsed = json::parse({value.data(), value.size()});
        fencing_row row;
        row.number = parsed.at("number").to_number<std::uint64_t>();
        row.holder = identifier::parse(std::string(parsed.at("holder").as_string())).value();
        row.lease = std::chrono::milliseconds(parsed.at("lease_ms").to_number<std::int64_t>());
        row.is_released = parsed.at("released").as_bool();
        row.writes = parsed.at("writes").to_number<std::uint64_t>();
        return row;
    } catch (const std::exception& error) {
        throw std::invalid_argument(std::string("not a valid fencing row: ") + error.what());
    }
}

fencing_lease::fencing_lease(store::table& table, std::string_view backend_server, identifier incarnation,
                             std::chrono::milliseconds lease)
    : m_table(table),
      m_key("fencing/" + std::string(backend_server)),
      m_incarnation(incarnation),
      m_lease(lease) {}

policy::duration fencing_lease::time_left(policy::time_point now) const noexcept {
    return now < m_valid_from ? policy::duration::zero()
                              : std::max(policy::duration::zero(), m_valid_until - now);
}

asio::awaitable<std::optional<policy::duration>> fencing_lease::acquire(bool must_wait_for_expiry) {
    const auto row = co_await m_table.read(m_key);
    const auto version = row ? row->version : 0;
    const auto current = row ? decode_fencing(row->value) : fencing_row{};
    const bool is_own = row && current.holder == m_incarnation;
    const bool is_free = !row || current.is_released || is_own;
    // The lease counts from before the write, because the write may take effect at any time between now and
    // the answer. A new holder that waits for this lease to expire counts from when it has read the write, so
    // later.
    const auto requested_at = steady_clock::now();
    if (!is_free && m_number != 0 && must_yield(current, version, requested_at)) {
        co_return std::nullopt;
    }
    fencing_row next;
    next.number = is_own && !current.is_released ? current.number : current.number + 1;
    next.holder = m_incarnation;
    next.lease = m_lease;
    next.writes = current.writes + 1;
    if (!co_await write(next, version)) {
        co_return std::nullopt;
    }
    m_number = next.number;
    const auto wait =
        is_free || !must_wait_for_expiry ? policy::duration::zero() : policy::duration(current.lease);
    m_valid_from = std::max(m_valid_from, steady_clock::now() + wait);
    m_valid_until = requested_at + m_lease;
    co_return wait;
}

/// Whether a sidecar that has lost the row to another holder must leave the row to that holder: as long as
/// the holder keeps renewing it. If the sidecar took the row back, the two of them would give contradicting
/// orders for ever.
bool fencing_lease::must_yield(const fencing_row& current, std::uint64_t version, policy::time_point now) {
    if (m_seen_version != version) {
        m_seen_version = version;
        m_seen_since = now;
    }
    return now - m_seen_since < current.lease;
}

asio::awaitable<bool> fencing_lease::write(const fencing_row& next, std::uint64_t version) {
    const auto value = encode_fencing(next);
    store::transaction changes;
    changes.conditions.push_back({m_key, version});
    changes.puts.push_back({m_key, value});
    bool is_lost = false;
    try {
        const auto result = co_await m_table.transact(changes);
        co_return result.committed;
    } catch (const store::store_error& error) {
        if (error.possible_effect() == store::effect::none) {
            throw;
        }
        is_lost = true;
    }
    // The answer was lost. The row shows whether the write took effect.
    const auto row = co_await m_table.read(m_key);
    co_return is_lost&& row && row->value == value;
}

asio::awaitable<void> fencing_lease::release() {
    if (m_number == 0) {
        co_return;
    }
    // No more orders are allowed before another sidecar can see the release.
    m_valid_until = {};
    try {
        const auto row = co_await m_table.read(m_key);
        if (!row) {
            co_return;
        }
        auto current = decode_fencing(row->value);
        if (current.holder != m_incarnation || current.is_released) {
            co_return;
        }
        current.is_released = true;
        ++current.writes;
        co_await write(current, row->version);
    } catch (const std::exception&) {
        // The lease could not be released, so the next holder has to wait until it expires.
    }
}

} // namespace borageford::sidecar

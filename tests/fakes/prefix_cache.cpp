// Implements the cache of prompt blocks with a list in order of use, and the log of its events.
#include "fakes/prefix_cache.hpp"

#include "support/answer_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace borageford::test {

namespace json = boost::json;

namespace {

/// Older events are discarded.
constexpr std::size_t kept_events = 20000;
constexpr std::size_t events_a_page = 1000;
/// Every 17th event is never published, so that readers see gaps.
constexpr std::uint64_t gap_period = 17;

} // namespace

std::uint32_t prefix_cache::find_prefix(std::span<const prompt_block> blocks) {
    std::uint32_t tokens = 0;
    for (const auto& block : blocks) {
        const auto found = m_blocks.find(block.hash);
        if (!block.is_complete || found == m_blocks.end()) {
            break;
        }
        m_recent.splice(m_recent.begin(), m_recent, found->second);
        tokens += block.tokens;
    }
    return tokens;
}

std::uint32_t prefix_cache::store(std::span<const prompt_block> blocks, std::uint32_t from_token) {
    std::uint32_t repeated = 0;
    std::uint32_t position = 0;
    for (const auto& block : blocks) {
        const bool was_prefilled_now = position >= from_token;
        position += block.tokens;
        if (!was_prefilled_now) {
            continue;
        }
        auto& count = m_prefilled[block.hash];
        repeated += count.times > 0 ? block.tokens : 0;
        ++count.times;
        count.tokens = block.tokens;
        if (block.is_complete) {
            put(block);
        }
    }
    return repeated;
}

void prefix_cache::put(const prompt_block& block) {
    if (m_blocks.contains(block.hash) || block.tokens > m_capacity) {
        return;
    }
    m_recent.push_front({block.hash, block.tokens});
    m_blocks[block.hash] = m_recent.begin();
    m_tokens += block.tokens;
    publish(true, block.hash);
    while (m_tokens > m_capacity) {
        const auto oldest = m_recent.back();
        m_recent.pop_back();
        m_blocks.erase(oldest.hash);
        m_tokens -= oldest.tokens;
        publish(false, oldest.hash);
    }
}

void prefix_cache::publish(bool is_stored, std::uint64_t hash) {
    ++m_sequence;
    if (m_sequence % gap_period == 0) {
        return;
    }
    m_events.push_back({m_sequence, clock::now(), is_stored, hash});
    if (m_events.size() > kept_events) {
        m_events.pop_front();
    }
}

std::string prefix_cache::events_after(std::uint64_t sequence, std::chrono::milliseconds lag) const {
    const auto latest = clock::now() - lag;
    json::array events;
    std::uint64_t next = sequence;
    for (const auto& event : m_events) {
        if (event.time > latest || events.size() >= events_a_page) {
            break;
        }
        if (event.sequence <= sequence) {
            continue;
        }
        next = event.sequence;
        json::object out;
        out["sequence"] = event.sequence;
        out["kind"] = event.is_stored ? "stored" : "evicted";
        out["hashes"] = json::array{to_hex(event.hash)};
        events.emplace_back(std::move(out));
    }
    return json::serialize(json::object{{"next", next}, {"events", events}});
}

std::string prefix_cache::describe_prefilled() const {
    json::object out;
    for (const auto& [hash, count] : m_prefilled) {
        out[to_hex(hash)] = json::array{count.times, count.tokens};
    }
    return json::serialize(out);
}

} // namespace borageford::test

// Encodes, checks and continues the list of epochs.
#include "entry/claim_epochs.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace borageford::entry {

namespace json = boost::json;

std::string encode_claim_epochs(const claim_epochs& value) {
    return json::serialize(json::object{{"earlier", json::value_from(value.earlier)}});
}

claim_epochs decode_claim_epochs(const store::row& row) {
    claim_epochs value;
    value.version = row.version;
    value.earlier =
        json::value_to<std::vector<std::uint64_t>>(json::parse(row.value).as_object().at("earlier"));
    const bool is_sorted =
        std::ranges::adjacent_find(value.earlier, std::ranges::greater_equal()) == value.earlier.end();
    const bool is_before = value.earlier.empty() || value.earlier.back() < value.version;
    if (!is_sorted || !is_before || value.earlier.size() > epochs_per_retention) {
        throw std::invalid_argument("the versions of the epochs contradict each other");
    }
    return value;
}

claim_epochs next_epoch(const claim_epochs& current) {
    claim_epochs next{current.earlier};
    if (current.version != 0) {
        next.earlier.push_back(current.version);
    }
    if (next.earlier.size() > epochs_per_retention) {
        next.earlier.erase(next.earlier.begin());
    }
    return next;
}

std::uint64_t first_retained_version(const claim_epochs& epochs) noexcept {
    return epochs.earlier.size() < epochs_per_retention ? 0 : epochs.earlier.front();
}

claim_epoch_timer::claim_epoch_timer(std::chrono::milliseconds retention)
    : m_length(std::chrono::nanoseconds(retention) / epochs_per_retention) {}

bool claim_epoch_timer::is_over(std::uint64_t version, time_point now) {
    if (m_version != version) {
        m_version = version;
        m_first_seen = now;
    }
    return version == 0 || now - m_first_seen >= m_length;
}

} // namespace borageford::entry

// Encodes and decodes the keys and values of claim rows.
#include "entry/claim_row.hpp"

#include "base/hash.hpp"

#include <boost/json.hpp>

#include <chrono>

namespace borageford::entry {

namespace json = boost::json;

namespace {

/// The hash as 16 hexadecimal digits: the first half of an identifier's text.
std::string hash_digits(std::uint64_t hash) {
    constexpr std::size_t digits = 16;
    return identifier{hash, 0}.to_string().substr(0, digits);
}

} // namespace

std::int64_t claim_time_now() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since).count();
}

std::string claim_key(std::string_view workspace, std::string_view key) {
    const auto hash = hash_bytes(key, hash_bytes(workspace));
    return std::string(claim_prefix)
        .append(hash_digits(hash))
        .append("/")
        .append(workspace)
        .append("/")
        .append(key);
}

std::string random_claim_position() {
    return std::string(claim_prefix) + hash_digits(identifier::random().high);
}

std::string encode_claim(const claim& value) {
    return json::serialize(json::object{
        {"dispatch", value.dispatch.to_string()},
        {"request", value.request.to_string()},
        {"fingerprint", std::to_string(value.fingerprint)},
        {"backend_server", value.backend_server},
        {"incarnation", value.incarnation.to_string()},
        {"granted_at_ms", value.granted_at_ms},
        {"state", value.state == claim_state::finished ? "finished" : "claimed"},
        {"time", value.time},
    });
}

claim decode_claim(const store::row& row) {
    const auto fields = json::parse(row.value).as_object();
    const auto text = [&fields](std::string_view name) {
        return std::string(fields.at(name).as_string());
    };
    claim value;
    value.dispatch = identifier::parse(text("dispatch")).value();
    value.request = identifier::parse(text("request")).value();
    value.fingerprint = std::stoull(text("fingerprint"));
    value.backend_server = text("backend_server");
    value.incarnation = identifier::parse(text("incarnation")).value();
    if (const auto* granted = fields.if_contains("granted_at_ms")) { // earlier versions don't write it
        value.granted_at_ms = granted->to_number<std::uint64_t>();
    }
    value.state = text("state") == "finished" ? claim_state::finished : claim_state::claimed;
    value.time = fields.at("time").to_number<std::int64_t>();
    value.version = row.version;
    return value;
}

} // namespace borageford::entry

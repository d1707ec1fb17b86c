// Encodes the time and the entry's name in a request id, and reads them from it.
#include "audit/request_identifier.hpp"

#include "base/hash.hpp"

namespace borageford::audit {
namespace {

constexpr unsigned entry_bits = 16;
constexpr std::uint64_t entry_mask = 0xffff;

std::uint64_t entry_code(std::string_view entry_vm) noexcept {
    return hash_bytes(entry_vm) & entry_mask;
}

} // namespace

request_id make_request_identifier(std::string_view entry_vm, std::chrono::system_clock::time_point now) {
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const auto time = static_cast<std::uint64_t>(since_epoch.count()) << entry_bits;
    return {time | entry_code(entry_vm), identifier::random().low};
}

std::chrono::system_clock::time_point start_time(const request_id& request) noexcept {
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(request.high >> entry_bits));
}

bool may_come_from(const request_id& request, std::string_view entry_vm) noexcept {
    return (request.high & entry_mask) == entry_code(entry_vm);
}

} // namespace borageford::audit

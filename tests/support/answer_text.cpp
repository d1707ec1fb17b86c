// Computes request fingerprints and the answer text that fake_engine sends, so that tests can compare the
// two.
#include "support/answer_text.hpp"

#include "base/hash.hpp"

#include <array>
#include <cstdio>

namespace borageford::test {

std::uint64_t fingerprint_of(std::string_view body) noexcept {
    return hash_bytes(body);
}

std::string to_hex(std::uint64_t value) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::string token_text(std::uint64_t fingerprint, std::uint32_t index) {
    if (index == 0) {
        return to_hex(fingerprint);
    }
    const std::string_view bytes(reinterpret_cast<const char*>(&index), sizeof(index));
    return " " + to_hex(hash_bytes(bytes, fingerprint)).substr(0, 5);
}

std::string answer_text(std::uint64_t fingerprint, std::uint32_t tokens) {
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        text += token_text(fingerprint, index);
    }
    return text;
}

} // namespace borageford::test

// Implements sha256_hex() with OpenSSL.
#include "base/sha256.hpp"

#include <array>
#include <openssl/evp.h>
#include <stdexcept>

namespace borageford {

std::string sha256_hex(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned low_bits = 0x0f;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    std::string text;
    for (unsigned index = 0; index < length; ++index) {
        const unsigned byte = digest.at(index);
        text += digits[byte >> 4U];
        text += digits[byte & low_bits];
    }
    return text;
}

} // namespace borageford

// Implements the compression functions with zlib and the base64 functions with OpenSSL.
#include "base/compression.hpp"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

// Makes zlib declare its input pointer as pointing to const bytes.
#define ZLIB_CONST
#include <zlib.h>

namespace borageford {
namespace {

constexpr std::size_t piece_size = 16U * 1024;
constexpr std::size_t base64_group_size = 4;
constexpr std::size_t base64_group_bytes = 3;

/// Owns a zlib decompression stream and releases it in the destructor, also when an exception is thrown.
class inflater {
public:
    inflater() {
        if (inflateInit(&m_stream) != Z_OK) {
            throw compression_error("zlib is not available");
        }
    }
    ~inflater() { inflateEnd(&m_stream); }
    inflater(const inflater&) = delete;
    inflater& operator=(const inflater&) = delete;
    inflater(inflater&&) = delete;
    inflater& operator=(inflater&&) = delete;

    void set_input(std::span<const std::uint8_t> packed) {
        m_stream.next_in = packed.data();
        m_stream.avail_in = static_cast<uInt>(packed.size());
    }

    /// Decompresses up to `piece_size` bytes and appends them to `text`. Returns true at the end of the
    /// stream; throws compression_error when the input is invalid or ends before the end of the stream.
    bool read_piece(std::string& text) {
        std::array<char, piece_size> piece{};
        m_stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        m_stream.avail_out = static_cast<uInt>(piece.size());
        const auto result = inflate(&m_stream, Z_NO_FLUSH);
        if (result != Z_OK && result != Z_STREAM_END) {
            throw compression_error("the deflated data is invalid or truncated");
        }
        text.append(piece.data(), piece.size() - m_stream.avail_out);
        return result == Z_STREAM_END;
    }

private:
    z_stream m_stream{};
};

} // namespace

std::vector<std::uint8_t> deflate_text(std::string_view text) {
    auto size = compressBound(text.size());
    std::vector<std::uint8_t> packed(size);
    const auto result = compress2(packed.data(), &size, reinterpret_cast<const Bytef*>(text.data()),
                                  text.size(), Z_BEST_COMPRESSION);
    if (result != Z_OK) {
        throw compression_error("zlib failed to deflate the text");
    }
    packed.resize(size);
    return packed;
}

std::string inflate_text(std::span<const std::uint8_t> packed, std::size_t size_limit) {
    inflater reader;
    reader.set_input(packed);
    std::string text;
    while (!reader.read_piece(text)) {
        if (text.size() > size_limit) {
            throw compression_error("the inflated text is larger than " + std::to_string(size_limit) +
                                    " bytes");
        }
    }
    if (text.size() > size_limit) {
        throw compression_error("the inflated text is larger than " + std::to_string(size_limit) + " bytes");
    }
    return text;
}

std::string encode_base64(std::span<const std::uint8_t> bytes) {
    const auto groups = (bytes.size() + base64_group_bytes - 1) / base64_group_bytes;
    // EVP_EncodeBlock also writes a terminating null byte, which is cut off below.
    std::string text(groups * base64_group_size + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::vector<std::uint8_t> decode_base64(std::string_view text) {
    if (text.size() % base64_group_size != 0) {
        throw compression_error("the length of the base64 text is not a multiple of four");
    }
    std::vector<std::uint8_t> bytes(text.size() / base64_group_size * base64_group_bytes);
    const auto length = EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0) {
        throw compression_error("the text is not valid base64");
    }
    // EVP_DecodeBlock counts each '=' of the padding as one decoded byte.
    const auto last = text.substr(text.size() - std::min<std::size_t>(2, text.size()));
    const auto padding = static_cast<std::size_t>(std::ranges::count(last, '='));
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace borageford

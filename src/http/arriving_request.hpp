// Parses a request whose bytes http::server receives piece by piece, with Boost.Beast.
#pragma once

#include "base/error_kind.hpp"
#include "http/message.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace borageford::http {

/// A body like Beast's string_body, for which memory is allocated as its bytes arrive and not as they are
/// announced.
struct arriving_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body) : m_body(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
            error = {};
            const auto before = m_body.size();
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
            }
            return m_body.size() - before;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

using request_parser = boost::beast::http::request_parser<arriving_body>;

/// Parses as much as can be parsed of what has arrived, and removes it from the buffer.
[[nodiscard]] boost::beast::error_code parse_buffered(boost::beast::flat_buffer& buffer,
                                                      request_parser& parser);

/// The error kind for a request that couldn't be read; std::nullopt when the caller has closed the
/// connection.
[[nodiscard]] std::optional<error_kind> error_kind_for(const boost::beast::error_code& error);

[[nodiscard]] request from_library(boost::beast::http::request<arriving_body>&& received);

} // namespace borageford::http

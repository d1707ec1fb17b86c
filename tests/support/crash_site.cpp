// Implementation of the helpers for tests of requests that crash servers.
#include "support/crash_site.hpp"

#include <algorithm>

namespace borageford::test {

site_options crash_site(std::size_t servers, std::size_t gateways, unsigned attempts) {
    auto options = plain_site(servers, gateways);
    options.configuration.routes.front().attempts = attempts;
    return options;
}

std::size_t send_round(const gateway_site& site, const std::vector<std::size_t>& gateways,
                       const std::function<http::request(std::size_t gateway)>& make_harmless_call) {
    constexpr unsigned status_ok = 200;
    return static_cast<std::size_t>(std::ranges::count_if(gateways, [&](std::size_t gateway) {
        return site.send(gateway, make_harmless_call(gateway)).status == status_ok;
    }));
}

} // namespace borageford::test

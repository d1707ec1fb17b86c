// Derives rate and burst of the bucket from the named limit and the share.
#include "policy/server_rate_limit.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// The rate, in requests per second, at which all coordinators together request answers of a server that
/// names a lower limit.
constexpr double min_rate = 0.2;
/// The lowest rate, in requests per second, that a process without a coordinator uses. With it the processes
/// that can have a token at the same moment are at most twice as many as the server accepts in a second.
constexpr double min_local_rate = 0.5;
/// How much may be saved up: the tokens of this time and one more. Slots are granted every 50 ms at least,
/// and a token that arrives while the bucket is full is lost.
constexpr double burst_seconds = 0.5;
/// The level is computed with rounding errors, which must not delay a grant.
constexpr double one_token = 1 - 1e-6;

} // namespace

server_rate_limit::server_rate_limit(double named, rate_share share, time_point now)
    : m_named(named), m_share(share), m_tokens(0, 0, now) {
    m_tokens.set_rate(per_second(), burst(), now);
}

void server_rate_limit::set_named(double named, time_point now) {
    m_named = named;
    m_tokens.set_rate(per_second(), burst(), now);
}

void server_rate_limit::set_share(rate_share share, time_point now) {
    m_share = share;
    m_tokens.set_rate(per_second(), burst(), now);
}

void server_rate_limit::restart(time_point now) {
    m_tokens = token_bucket(0, 0, now);
    m_tokens.set_rate(per_second(), burst(), now);
}

double server_rate_limit::per_second() const {
    if (m_share.is_local) {
        const double part = m_named * m_share.share;
        return part >= min_local_rate ? part : 0;
    }
    return std::max(m_named, min_rate) * m_share.share;
}

double server_rate_limit::burst() const {
    return 1 + per_second() * burst_seconds;
}

bool server_rate_limit::has_room(time_point now) const {
    return m_tokens.level_at(now) >= one_token;
}

duration server_rate_limit::wait(time_point now) const {
    return m_tokens.time_until(one_token, now);
}

void server_rate_limit::take(time_point now) {
    m_tokens.charge(1, now);
}

} // namespace borageford::policy

// Polls a condition until it holds or the timeout has passed.
#include "support/wait_until.hpp"

#include <stdexcept>
#include <thread>

namespace borageford::test {

namespace {

constexpr std::chrono::milliseconds poll_period{10};

} // namespace

void wait_until(const std::string& what, const std::function<bool()>& condition,
                std::chrono::milliseconds guard) {
    const auto limit = std::chrono::steady_clock::now() + guard;
    std::string last_error;
    while (std::chrono::steady_clock::now() < limit) {
        try {
            if (condition()) {
                return;
            }
            last_error.clear();
        } catch (const std::exception& problem) {
            last_error = problem.what();
        }
        std::this_thread::sleep_for(poll_period);
    }
    throw std::runtime_error("never happened: " + what + (last_error.empty() ? "" : " (" + last_error + ")"));
}

} // namespace borageford::test

// A fake service without a model. It answers any call after a configured delay with the fingerprint of the
// call's body, and counts the runs.
#include "fakes/fake_server_runner.hpp"
#include "fakes/fault_controls.hpp"
#include "fakes/run_counter.hpp"
#include "support/answer_text.hpp"
#include "support/argument_reader.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace borageford::test {

namespace asio = boost::asio;

class fake_service {
public:
    explicit fake_service(std::chrono::duration<double, std::milli> delay) : m_delay(delay) {}

    asio::awaitable<void> handle(const http::request& call, http::response_writer& writer) {
        const auto path = http::path_of(call.target);
        if (path == "/health") {
            co_await writer.write(json_response(200, "{}"));
        } else if (path == "/control/runs") {
            co_await writer.write(json_response(200, describe_runs()));
        } else if (path == "/control") {
            m_faults.apply(call.body);
            co_await writer.write(json_response(200, "{}"));
        } else {
            co_await run(call, writer);
        }
    }

private:
    asio::awaitable<void> run(const http::request& call, http::response_writer& writer) {
        m_faults.crash_if_asked(call.body);
        if (m_faults.refuse) {
            co_await writer.write(error_response(503, "refused"));
            co_return;
        }
        const auto id = m_runs.count(call);
        const auto delay = m_delay * m_faults.slowdown;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
        co_await timer.async_wait(asio::use_awaitable);
        if (m_faults.cut) {
            writer.abort();
            co_return;
        }
        // A variable rather than an argument: the compiler destroys temporaries of a conditional expression
        // twice when they are part of a co_await.
        const auto body = m_faults.garble ? std::string("\x01rubbish") : describe(call, id);
        co_await writer.write(json_response(200, body));
    }

    [[nodiscard]] static std::string describe(const http::request& call, const std::string& id) {
        boost::json::object out;
        out["fingerprint"] = to_hex(fingerprint_of(call.body));
        out["path"] = std::string(http::path_of(call.target));
        out["method"] = call.method;
        out["request_id"] = id;
        return boost::json::serialize(out);
    }

    [[nodiscard]] std::string describe_runs() const {
        boost::json::object out;
        m_runs.describe(out);
        return boost::json::serialize(out);
    }

    std::chrono::duration<double, std::milli> m_delay;
    fault_controls m_faults;
    run_counter m_runs;
};

} // namespace borageford::test

int main(int count, char** arguments) {
    using namespace borageford;
    return test::run_main([&] {
        test::argument_reader reader(count, arguments);
        const auto address = reader.text("listen", "127.0.0.1:0");
        test::fake_service service{std::chrono::duration<double, std::milli>(reader.number("delay-ms", 0))};
        reader.finish();
        test::fake_server_runner process;
        return process.run(address, [&](const http::request& call, http::response_writer& writer) {
            return service.handle(call, writer);
        });
    });
}

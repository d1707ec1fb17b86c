// A fake platform: transactional table, object store and list of VMs over HTTP, with faults that tests switch
// on through POST /control.
#include "fakes/fake_server_runner.hpp"
#include "fakes/platform_table.hpp"
#include "fakes/vm_list.hpp"
#include "fakes/write_budget.hpp"
#include "support/argument_reader.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <list>

namespace borageford::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Items in a page when the call names no limit.
constexpr std::size_t default_page = 1000;

/// What /control/counts reports, counted since the start.
struct platform_counts {
    std::uint64_t transactions = 0;
    std::uint64_t rows_written = 0;
    std::uint64_t reads = 0;
    std::uint64_t objects_put = 0;
    std::uint64_t refused_writes = 0;
};

std::uint64_t number_in(const http::request& call, std::string_view name, std::uint64_t fallback) {
    const auto text = http::query_value(call.target, name);
    return text ? std::stoull(*text) : fallback;
}

} // namespace

class fake_platform {
public:
    fake_platform(asio::any_io_executor executor, double writes_per_second, double latency_ms)
        : m_executor(std::move(executor)), m_budget(writes_per_second), m_latency_ms(latency_ms) {}

    asio::awaitable<void> handle(const http::request& call, http::response_writer& writer) {
        const auto path = http::path_of(call.target);
        if (path == "/control") {
            apply(call.body);
            co_await writer.write(json_response(200, "{}"));
            co_return;
        }
        if (path == "/control/counts") {
            co_await writer.write(json_response(200, describe_counts()));
            co_return;
        }
        co_await wait(m_latency_ms);
        if (m_outage) {
            co_await writer.write(error_response(503, "outage"));
            co_return;
        }
        if (path == "/table/transact") {
            co_await transact(call, writer);
        } else {
            co_await writer.write(answer(call, path));
        }
    }

private:
    asio::awaitable<void> wait(double milliseconds) {
        if (milliseconds <= 0) {
            co_return;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double, std::milli>(milliseconds)));
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> transact(const http::request& call, http::response_writer& writer) {
        if (!m_budget.take()) {
            co_await writer.write(too_many_writes());
            co_return;
        }
        const auto outcome = m_table.transact(call.body);
        ++m_counts.transactions;
        m_counts.rows_written += outcome.rows_written;
        if (m_lose_answers > 0) {
            --m_lose_answers;
            m_outage = m_outage || m_outage_after_loss;
            writer.abort();
            co_return;
        }
        co_await writer.write(json_response(outcome.status, outcome.body));
    }

    http::response answer(const http::request& call, std::string_view path) {
        if (path == "/table/row") {
            ++m_counts.reads;
            const auto outcome = m_table.read_row(http::query_value(call.target, "key").value_or(""));
            return json_response(outcome.status, outcome.body);
        }
        if (path == "/table/scan") {
            ++m_counts.reads;
            const auto outcome = m_table.scan(http::query_value(call.target, "prefix").value_or(""),
                                              http::query_value(call.target, "after").value_or(""),
                                              number_in(call, "limit", default_page));
            return json_response(outcome.status, outcome.body);
        }
        if (path == "/vms") {
            return json_response(200, m_machines.changes_since(number_in(call, "since", 0)));
        }
        if (path == "/objects") {
            ++m_counts.reads;
            return json_response(200, list_objects(call));
        }
        constexpr std::string_view objects = "/objects/";
        if (path.starts_with(objects)) {
            return answer_object(call, std::string(path.substr(objects.size())));
        }
        return error_response(404, "no_such_path");
    }

    http::response answer_object(const http::request& call, const std::string& key) {
        if (call.method == "PUT") {
            if (!m_budget.take()) {
                return too_many_writes();
            }
            m_objects[key] = call.body;
            ++m_counts.objects_put;
            return json_response(200, "{}");
        }
        ++m_counts.reads;
        const auto found = m_objects.find(key);
        if (found == m_objects.end()) {
            return error_response(404, "no_such_object");
        }
        if (call.method == "DELETE") {
            m_objects.erase(found);
            return json_response(204, "");
        }
        return http::make_response(200, "application/octet-stream", found->second);
    }

    [[nodiscard]] std::string list_objects(const http::request& call) const {
        const auto prefix = http::query_value(call.target, "prefix").value_or("");
        const auto after = http::query_value(call.target, "after").value_or("");
        const auto limit = number_in(call, "limit", default_page);
        json::array found;
        auto object = after < prefix ? m_objects.lower_bound(prefix) : m_objects.upper_bound(after);
        for (; object != m_objects.end() && found.size() < limit && object->first.starts_with(prefix);
             ++object) {
            found.emplace_back(json::object{{"key", object->first}, {"size", object->second.size()}});
        }
        return json::serialize(json::object{{"objects", found}});
    }

    http::response too_many_writes() {
        ++m_counts.refused_writes;
        auto refusal = error_response(429, "too_many_writes");
        refusal.head.headers.push_back({"Retry-After", "1"});
        return refusal;
    }

    void apply(std::string_view text) {
        const auto parsed = json::parse(json::string_view(text.data(), text.size()));
        const auto& controls = parsed.as_object();
        // The lag is read first, because it applies to a list of VMs in the same call.
        if (const auto* lag = controls.if_contains("vm_lag_ms")) {
            m_vm_lag_ms = lag->to_number<double>();
        }
        for (const auto& [name, value] : controls) {
            if (name == "outage") {
                m_outage = value.as_bool();
            } else if (name == "latency_ms") {
                m_latency_ms = value.to_number<double>();
            } else if (name == "stale_reads") {
                m_table.set_stale_reads(value.as_bool());
            } else if (name == "lose_answers") {
                m_lose_answers = value.to_number<std::uint64_t>();
            } else if (name == "outage_after_loss") {
                m_outage_after_loss = value.as_bool();
            } else if (name == "vms") {
                replace_machines(value.as_array());
            } else if (name != "vm_lag_ms") {
                throw std::invalid_argument("unknown control " + std::string(name));
            }
        }
    }

    void replace_machines(const json::array& machines) {
        if (m_vm_lag_ms <= 0) {
            m_machines.replace(machines);
            return;
        }
        auto& timer = m_lags.emplace_back(m_executor);
        timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(m_vm_lag_ms)));
        timer.async_wait([this, machines](const boost::system::error_code& error) {
            if (!error) {
                m_machines.replace(machines);
            }
        });
    }

    [[nodiscard]] std::string describe_counts() const {
        json::object out;
        out["transactions"] = m_counts.transactions;
        out["rows_written"] = m_counts.rows_written;
        out["reads"] = m_counts.reads;
        out["objects_put"] = m_counts.objects_put;
        out["refused_writes"] = m_counts.refused_writes;
        return json::serialize(out);
    }

    asio::any_io_executor m_executor;
    platform_table m_table;
    std::map<std::string, std::string> m_objects;
    vm_list m_machines;
    std::list<asio::steady_timer> m_lags;
    write_budget m_budget;
    platform_counts m_counts;
    double m_latency_ms;
    double m_vm_lag_ms = 0;
    bool m_outage = false;
    bool m_outage_after_loss = false; ///< a lost answer starts an outage
    std::uint64_t m_lose_answers = 0; ///< next transactions that take effect but whose answer is lost
};

} // namespace borageford::test

int main(int count, char** arguments) {
    using namespace borageford;
    return test::run_main([&] {
        test::argument_reader reader(count, arguments);
        const auto address = reader.text("listen", "127.0.0.1:0");
        test::fake_server_runner process;
        test::fake_platform platform(process.executor(), reader.number("writes-per-second", 0),
                                     reader.number("latency-ms", 0));
        reader.finish();
        return process.run(address, [&](const http::request& call, http::response_writer& writer) {
            return platform.handle(call, writer);
        });
    });
}

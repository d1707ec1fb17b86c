// A fake model engine with continuous batching and a cache of prompt prefixes. It streams answers, which can
// be resumed and cancelled, reports its load with a lag, executes orders, and counts every run and every
// prompt token that was computed in vain.
#include "fakes/engine_batch.hpp"
#include "fakes/engine_orders.hpp"
#include "fakes/fake_server_runner.hpp"
#include "fakes/run_counter.hpp"
#include "support/argument_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <unordered_map>

namespace borageford::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// A finished answer can be read for at least this time.
constexpr std::chrono::seconds answer_retention{60};
/// Old answers are removed after this many new ones.
constexpr std::size_t prune_period = 256;
constexpr std::string_view stream_path = "/v1/streams/";
/// Time between two load reports.
constexpr std::chrono::milliseconds load_period{50};

/// The command line's settings.
struct engine_options {
    engine_speed speed;
    std::uint64_t cache_tokens = 200000;
    std::chrono::milliseconds load_lag{500};
    std::string models;
    bool checks_fencing = false;
};

/// The load at one time, as JSON.
struct load_report {
    std::chrono::steady_clock::time_point time;
    std::string text;
};

/// Counts of computed prompt tokens over several runs. Wasted are all tokens of a finished run whose answer
/// no reader received completely, and otherwise the tokens that this engine had computed before.
struct prefill_totals {
    std::uint64_t prefilled = 0;
    std::uint64_t wasted = 0;

    void add(const engine_stream& stream) {
        prefilled += stream.prefilled_tokens;
        const bool is_lost = stream.is_finished && !stream.is_delivered;
        wasted += is_lost ? stream.prefilled_tokens : stream.repeated_tokens;
    }
};

} // namespace

class fake_engine {
public:
    fake_engine(asio::any_io_executor executor, const engine_options& options)
        : m_executor(executor),
          m_load_lag(options.load_lag),
          m_cache(options.cache_tokens),
          m_orders(options.models, options.checks_fencing),
          m_batch(executor, options.speed, m_cache, m_faults),
          m_load_timer(executor) {
        report_load();
    }

    asio::awaitable<void> handle(const http::request& call, http::response_writer& writer) {
        const auto path = http::path_of(call.target);
        if (path == "/v1/chat/completions" || path == "/v1/completions") {
            co_await run(call, writer);
        } else if (path.starts_with(stream_path)) {
            co_await handle_stream(call, std::string(path.substr(stream_path.size())), writer);
        } else {
            co_await writer.write(answer(call, path));
        }
    }

private:
    using stream_pointer = std::shared_ptr<engine_stream>;

    http::response answer(const http::request& call, std::string_view path) {
        if (path == "/health") {
            return json_response(200, "{}");
        }
        if (path == "/load") {
            return json_response(200, m_loads.front().text);
        }
        if (path == "/cache_events") {
            const auto after = std::stoull(http::query_value(call.target, "after").value_or("0"));
            return json_response(200, m_cache.events_after(after, load_lag()));
        }
        if (path == "/state") {
            return json_response(200, m_orders.describe_state());
        }
        if (path == "/orders") {
            return m_orders.execute(call.body);
        }
        if (path == "/control/runs") {
            return json_response(200, describe_runs());
        }
        if (path == "/control/prefilled") {
            return json_response(200, m_cache.describe_prefilled());
        }
        if (path == "/control") {
            m_faults.apply(call.body);
            return json_response(200, "{}");
        }
        return error_response(404, "no_such_path");
    }

    asio::awaitable<void> run(const http::request& call, http::response_writer& writer) {
        m_faults.crash_if_asked(call.body);
        if (m_faults.refuse) {
            co_await writer.write(error_response(503, "refused"));
            co_return;
        }
        std::optional<engine_request> request;
        try {
            request = read_engine_request(http::path_of(call.target), call.body);
        } catch (const std::exception&) {
            request.reset();
        }
        if (!request) {
            co_await writer.write(error_response(400, "bad_request"));
            co_return;
        }
        if (!m_orders.has_model(request->model)) {
            co_await writer.write(error_response(404, "no_such_model"));
            co_return;
        }
        const auto id = m_runs.count(call);
        auto stream = std::make_shared<engine_stream>(m_executor, id, std::move(*request));
        store_stream(stream);
        m_batch.add(stream);
        co_await deliver(std::move(stream), 0, writer);
    }

    asio::awaitable<void> handle_stream(const http::request& call, const std::string& id,
                                        http::response_writer& writer) {
        const auto found = m_streams.find(id);
        if (found == m_streams.end() || found->second->is_cancelled) {
            co_await writer.write(error_response(404, "no_such_stream"));
            co_return;
        }
        auto stream = found->second;
        if (call.method == "DELETE") {
            if (!stream->is_finished) {
                stream->cancel();
                ++m_cancelled;
            }
            co_await writer.write(json_response(204, ""));
            co_return;
        }
        const auto offset = std::stoull(http::query_value(call.target, "offset").value_or("0"));
        co_await deliver(std::move(stream), offset, writer);
    }

    /// Sends the answer from the offset on while it grows. When the reader disconnects, sending ends but the
    /// run goes on.
    asio::awaitable<void> deliver(stream_pointer stream, std::size_t offset, http::response_writer& writer) {
        co_await stream->wait_for(offset);
        http::response_head head;
        head.headers.push_back(
            {"Content-Type", stream->request.is_streamed ? "text/event-stream" : "application/json"});
        co_await writer.begin(head);
        while (true) {
            if (stream->is_cancelled || (m_faults.cut && offset > 0)) {
                writer.abort();
                co_return;
            }
            if (offset < stream->bytes.size()) {
                const auto piece = stream->bytes.substr(offset);
                offset += piece.size();
                co_await writer.write_piece(piece);
            } else if (stream->is_finished) {
                break;
            } else {
                co_await stream->wait_for(offset);
            }
        }
        co_await writer.finish();
        stream->is_delivered = true;
    }

    /// Stores a run under its id, so that its answer can be read again.
    void store_stream(const stream_pointer& stream) {
        auto& slot = m_streams[stream->id];
        if (slot != nullptr) {
            m_replaced.push_back(slot); // a second run with the same id: the counts include both
        }
        slot = stream;
        if (++m_since_pruned >= prune_period) {
            m_since_pruned = 0;
            prune();
        }
    }

    void prune() {
        const auto oldest = std::chrono::steady_clock::now() - answer_retention;
        for (auto item = m_streams.begin(); item != m_streams.end();) {
            const auto& stream = *item->second;
            if (stream.is_finished && stream.ended_at < oldest) {
                m_totals.add(stream);
                item = m_streams.erase(item);
            } else {
                ++item;
            }
        }
    }

    [[nodiscard]] std::string describe_runs() const {
        auto totals = m_totals;
        for (const auto& [id, stream] : m_streams) {
            totals.add(*stream);
        }
        for (const auto& stream : m_replaced) {
            totals.add(*stream);
        }
        json::object out;
        m_runs.describe(out);
        out["cancelled"] = m_cancelled;
        out["prefilled_tokens"] = totals.prefilled;
        out["wasted_tokens"] = totals.wasted;
        out["running"] = m_batch.running();
        out["waiting"] = m_batch.waiting();
        out["orders"] = m_orders.received();
        return json::serialize(out);
    }

    [[nodiscard]] std::chrono::milliseconds load_lag() const {
        return m_faults.lag_ms ? std::chrono::milliseconds(*m_faults.lag_ms) : m_load_lag;
    }

    void report_load() {
        const auto now = std::chrono::steady_clock::now();
        json::object out;
        out["running"] = m_batch.running();
        out["waiting"] = m_batch.waiting();
        out["prefill_tokens"] = m_batch.prefill_backlog();
        out["cached_tokens"] = m_cache.cached_tokens();
        m_loads.push_back({now, json::serialize(out)});
        while (m_loads.size() > 1 && m_loads[1].time <= now - load_lag()) {
            m_loads.pop_front();
        }
        m_load_timer.expires_after(load_period);
        m_load_timer.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                report_load();
            }
        });
    }

    asio::any_io_executor m_executor;
    std::chrono::milliseconds m_load_lag;
    fault_controls m_faults;
    prefix_cache m_cache;
    engine_orders m_orders;
    engine_batch m_batch;
    asio::steady_timer m_load_timer;
    std::deque<load_report> m_loads; ///< oldest first; the first is the newest one that is older than the lag
    run_counter m_runs;
    std::unordered_map<std::string, stream_pointer> m_streams;
    std::vector<stream_pointer> m_replaced;
    prefill_totals m_totals;
    std::size_t m_since_pruned = 0;
    std::uint64_t m_cancelled = 0;
};

} // namespace borageford::test

int main(int count, char** arguments) {
    using namespace borageford;
    return test::run_main([&] {
        test::argument_reader reader(count, arguments);
        const auto address = reader.text("listen", "127.0.0.1:0");
        test::engine_options options;
        auto& speed = options.speed;
        speed.prefill_tokens_per_second =
            reader.number("prefill-tokens-per-second", speed.prefill_tokens_per_second);
        speed.output_tokens_per_second =
            reader.number("output-tokens-per-second", speed.output_tokens_per_second);
        speed.batch_knee = reader.number("batch-knee", speed.batch_knee);
        speed.slots = static_cast<std::size_t>(reader.number("slots", static_cast<double>(speed.slots)));
        options.cache_tokens = static_cast<std::uint64_t>(reader.number("cache-tokens", 200000));
        options.load_lag = std::chrono::milliseconds(static_cast<int>(reader.number("load-lag-ms", 500)));
        options.models = reader.text("models", "");
        options.checks_fencing = reader.is_set("checks-fencing");
        reader.finish();
        test::fake_server_runner process;
        test::fake_engine engine(process.executor(), options);
        return process.run(address, [&](const http::request& call, http::response_writer& writer) {
            return engine.handle(call, writer);
        });
    });
}

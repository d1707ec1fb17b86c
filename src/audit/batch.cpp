// Encodes and decodes batches. All times are whole microseconds: a batch's time ("from") counts from 1970,
// the times of its events ("at") count from the time of the batch.
#include "audit/batch.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace borageford::audit {
namespace {

namespace json = boost::json;
using std::chrono::microseconds;
using std::chrono::system_clock;

constexpr std::int64_t format_version = 1;

microseconds since_epoch(system_clock::time_point time) {
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch());
}

/// The fields that all events of one attempt have in common.
using attempt_key = std::tuple<dispatch_id, std::string_view, std::uint64_t>;
/// The fields that all attempts in one line have in common.
using line_key = std::tuple<request_id, std::string_view, unsigned, std::string_view>;

/// Groups the records of a batch into lines and attempts, both in the order of their first record.
class batch_writer {
public:
    explicit batch_writer(microseconds base) : m_base(base) {}

    void add(const record& audit_record) {
        auto& attempt = find_attempt(audit_record);
        json::object event{{"at", (since_epoch(audit_record.time) - m_base).count()},
                           {"event", to_string(audit_record.what)}};
        if (audit_record.reason) {
            event["reason"] = to_string(*audit_record.reason);
        }
        if (!audit_record.detail.empty()) {
            event["detail"] = audit_record.detail;
        }
        attempt["events"].as_array().push_back(std::move(event));
    }

    void append_to(std::string& out) const {
        for (const auto& line : m_lines) {
            out.append(json::serialize(line)).append("\n");
        }
    }

private:
    json::object& find_attempt(const record& audit_record) {
        const line_key where{audit_record.request, audit_record.workspace, audit_record.tier,
                             audit_record.target};
        const auto [line, is_new_line] = m_line_indexes.try_emplace(where, m_lines.size());
        if (is_new_line) {
            m_lines.push_back(make_line(audit_record));
        }
        auto& attempts = m_lines.at(line->second)["attempts"].as_array();
        const std::pair key{line->second, attempt_key{audit_record.dispatch, audit_record.backend_server,
                                                      audit_record.revision}};
        const auto [attempt, is_new_attempt] = m_attempt_indexes.try_emplace(key, attempts.size());
        if (is_new_attempt) {
            attempts.push_back(make_attempt(audit_record));
        }
        return attempts.at(attempt->second).as_object();
    }

    static json::object make_line(const record& audit_record) {
        return {{"request", audit_record.request.to_string()},
                {"workspace", audit_record.workspace},
                {"tier", audit_record.tier},
                {"target", audit_record.target},
                {"attempts", json::array()}};
    }

    static json::object make_attempt(const record& audit_record) {
        json::object attempt;
        if (!audit_record.dispatch.is_none()) {
            attempt["dispatch"] = audit_record.dispatch.to_string();
        }
        if (!audit_record.backend_server.empty()) {
            attempt["backend_server"] = audit_record.backend_server;
        }
        attempt["revision"] = audit_record.revision;
        attempt["events"] = json::array();
        return attempt;
    }

    microseconds m_base;
    std::vector<json::object> m_lines;
    std::map<line_key, std::size_t> m_line_indexes;
    std::map<std::pair<std::size_t, attempt_key>, std::size_t> m_attempt_indexes;
};

std::string text_of(const json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

identifier identifier_of(const json::object& object, std::string_view name) {
    const auto text = text_of(object, name);
    if (text.empty()) {
        return {};
    }
    const auto value = identifier::parse(text);
    if (!value) {
        throw batch_error("not an identifier: " + text);
    }
    return *value;
}

record read_event(record shared, const json::object& event, microseconds base) {
    shared.time = system_clock::time_point(base + microseconds(event.at("at").to_number<std::int64_t>()));
    const auto what = find_event(text_of(event, "event"));
    if (!what) {
        throw batch_error("unknown event: " + text_of(event, "event"));
    }
    shared.what = *what;
    if (event.contains("reason")) {
        shared.reason = find_error_kind(text_of(event, "reason"));
    }
    shared.detail = text_of(event, "detail");
    return shared;
}

void read_line(std::vector<record>& out, const json::object& line, microseconds base) {
    record shared;
    shared.request = identifier_of(line, "request");
    shared.workspace = text_of(line, "workspace");
    shared.tier = line.at("tier").to_number<unsigned>();
    shared.target = text_of(line, "target");
    for (const auto& value : line.at("attempts").as_array()) {
        const auto& attempt = value.as_object();
        shared.dispatch = identifier_of(attempt, "dispatch");
        shared.backend_server = text_of(attempt, "backend_server");
        shared.revision = attempt.at("revision").to_number<std::uint64_t>();
        for (const auto& event : attempt.at("events").as_array()) {
            out.push_back(read_event(shared, event.as_object(), base));
        }
    }
}

/// Removes the first line from the text and returns it without its line break.
std::string_view take_line(std::string_view& text) {
    const auto end = text.find('\n');
    if (end == std::string_view::npos) {
        throw batch_error("a line without its end: the batch is cut");
    }
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

batch decode(std::string_view text) {
    const auto head = json::parse(take_line(text)).as_object();
    if (head.at("format").to_number<std::int64_t>() != format_version) {
        throw batch_error("a batch of another format");
    }
    batch out;
    out.origin = {text_of(head, "role"), text_of(head, "vm"), text_of(head, "backend_server")};
    out.is_last = head.at("last").as_bool();
    const microseconds base(head.at("from").to_number<std::int64_t>());
    while (!text.empty()) {
        read_line(out.records, json::parse(take_line(text)).as_object(), base);
    }
    if (out.records.size() != head.at("records").to_number<std::uint64_t>()) {
        throw batch_error("a batch with fewer records than it says");
    }
    sort_by_time(out.records);
    return out;
}

} // namespace

std::string encode_batch(const batch& content) {
    microseconds base = microseconds::max();
    for (const auto& audit_record : content.records) {
        base = std::min(base, since_epoch(audit_record.time));
    }
    batch_writer writer(base);
    for (const auto& audit_record : content.records) {
        writer.add(audit_record);
    }
    const json::object head{
        {"format", format_version},         {"role", content.origin.role},
        {"vm", content.origin.vm},          {"backend_server", content.origin.backend_server},
        {"last", content.is_last},          {"from", content.records.empty() ? 0 : base.count()},
        {"records", content.records.size()}};
    std::string out = json::serialize(head) + "\n";
    writer.append_to(out);
    return out;
}

batch decode_batch(std::string_view text) {
    try {
        return decode(text);
    } catch (const batch_error&) {
        throw;
    } catch (const std::exception& error) {
        throw batch_error(error.what());
    }
}

} // namespace borageford::audit

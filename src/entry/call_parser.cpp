// Parses completion requests (chat and plain) and requests to services, which are forwarded as they are.
#include "entry/call_parser.hpp"

#include "base/hash.hpp"
#include "base/request_error.hpp"
#include "base/sha256.hpp"
#include "policy/cost_estimator.hpp"
#include "policy/prefix_index.hpp"
#include "settings/section_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace borageford::entry {
namespace {

namespace json = boost::json;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view services_path = "/services/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t max_key_length = 256;
/// Retry-After while no configuration is known. A process that has just started requests the configuration
/// from the platform and its peers at once, so it usually has one within this time.
constexpr std::chrono::milliseconds no_configuration_retry_after{2000};
/// How many blocks of a prompt are hashed at most. Prompts that are longer and agree in these blocks count as
/// having the same prefix.
constexpr std::size_t max_hashed_blocks = 64;

json::object parse_body(const std::string& body) {
    json::error_code error;
    auto value = json::parse(body, error);
    if (error) {
        throw request_error(error_kind::bad_request, "The body isn't valid JSON: " + error.message());
    }
    if (!value.is_object()) {
        throw request_error(error_kind::bad_request, "The body must be a JSON object.");
    }
    return std::move(value.as_object());
}

/// Appends the text of a chat message to the prompt. The content is either a string or an array of parts, of
/// which only those with a "text" field are used.
void append_content(std::string& prompt, const json::value& content) {
    if (const auto* text = content.if_string()) {
        prompt.append(text->data(), text->size());
        return;
    }
    const auto* parts = content.if_array();
    if (parts == nullptr) {
        return;
    }
    for (const auto& part : *parts) {
        const auto* object = part.if_object();
        const auto* text = object == nullptr ? nullptr : object->if_contains("text");
        if (text != nullptr && text->is_string()) {
            prompt.append(text->as_string().data(), text->as_string().size());
        }
    }
}

std::string chat_prompt(const json::object& body) {
    const auto* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        throw request_error(error_kind::bad_request,
                            "\"messages\" must be an array with at least one message.");
    }
    std::string prompt;
    for (const auto& message : messages->as_array()) {
        const auto* object = message.if_object();
        const auto* role = object == nullptr ? nullptr : object->if_contains("role");
        if (role == nullptr || !role->is_string()) {
            throw request_error(error_kind::bad_request, "Each message must be an object with a \"role\".");
        }
        prompt.append(role->as_string().data(), role->as_string().size()).append("\n");
        if (const auto* content = object->if_contains("content")) {
            append_content(prompt, *content);
        }
        prompt.append("\n");
    }
    return prompt;
}

std::string completion_prompt(const json::object& body) {
    const auto* prompt = body.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
        throw request_error(error_kind::bad_request, "\"prompt\" must be a string.");
    }
    return std::string(prompt->as_string());
}

bool read_flag(const json::object& body, std::string_view name) {
    const auto* value = body.if_contains(name);
    if (value == nullptr || value->is_null()) {
        return false;
    }
    if (!value->is_bool()) {
        throw request_error(error_kind::bad_request, "\"" + std::string(name) + "\" must be true or false.");
    }
    return value->as_bool();
}

std::uint32_t expected_output(const json::object& body, const configuration::model& model) {
    for (const auto* name : {"max_completion_tokens", "max_tokens"}) {
        const auto* value = body.if_contains(name);
        if (value == nullptr || value->is_null()) {
            continue;
        }
        if (!value->is_number() || value->to_number<double>() < 1) {
            throw request_error(error_kind::bad_request,
                                "\"" + std::string(name) + "\" must be a positive number.");
        }
        const auto requested = value->to_number<double>();
        return static_cast<std::uint32_t>(std::min<double>(requested, model.expected_output_tokens));
    }
    return model.expected_output_tokens;
}

void read_completion(call& parsed, const http::request& received, std::string_view path) {
    const auto body = parse_body(received.body);
    const auto* name = body.if_contains("model");
    if (name == nullptr || !name->is_string()) {
        throw request_error(error_kind::bad_request, "\"model\" must be the name of a model.");
    }
    parsed.target = std::string(name->as_string());
    const auto* model = parsed.configuration->find_model(parsed.target);
    if (model == nullptr) {
        throw request_error(error_kind::unknown_model,
                            "There is no model \"" + parsed.target + "\" in the configuration.");
    }
    const auto prompt = path == chat_path ? chat_prompt(body) : completion_prompt(body);
    parsed.prompt_tokens = policy::count_prompt_tokens(prompt.size());
    if (parsed.prompt_tokens > model->context_tokens) {
        throw request_error(error_kind::bad_request,
                            "The prompt has about " + std::to_string(parsed.prompt_tokens) +
                                " tokens; the model takes " + std::to_string(model->context_tokens) + ".");
    }
    parsed.prefix_hashes = policy::hash_prefix_blocks(prompt, max_hashed_blocks);
    parsed.expected_output_tokens = expected_output(body, *model);
    parsed.is_streamed = read_flag(body, "stream");
}

void read_service_call(call& parsed, std::string_view path) {
    const auto target_and_path = path.substr(services_path.size());
    parsed.target = std::string(target_and_path.substr(0, target_and_path.find('/')));
    parsed.is_service = true;
    if (parsed.configuration->find_service(parsed.target) == nullptr) {
        throw request_error(error_kind::unknown_service,
                            "There is no service \"" + parsed.target + "\" in the configuration.");
    }
    const auto after = services_path.size() + parsed.target.size();
    parsed.path.erase(0, after);
    if (parsed.path.empty() || parsed.path.front() != '/') {
        parsed.path.insert(0, "/");
    }
}

void choose_tier(call& parsed, const http::request& received) {
    const auto* default_tier = parsed.configuration->find_tier(parsed.workspace->tier);
    parsed.tier = default_tier;
    const auto requested = http::find_header(received.headers, tier_header);
    if (!requested) {
        return;
    }
    const auto* tier = parsed.configuration->find_tier(*requested);
    if (tier == nullptr) {
        throw request_error(error_kind::bad_request, "There is no tier \"" + std::string(*requested) + "\".");
    }
    // The X-Tier header may lower the workspace's tier (a higher rank) but never raise it.
    if (default_tier == nullptr || tier->rank > default_tier->rank) {
        parsed.tier = tier;
    }
}

void choose_route(call& parsed) {
    parsed.route = parsed.configuration->find_route(parsed.workspace->name, parsed.tier->name, parsed.target,
                                                    parsed.is_service);
    if (parsed.route == nullptr) {
        throw request_error(error_kind::forbidden, "No route lets workspace \"" + parsed.workspace->name +
                                                       "\" use \"" + parsed.target + "\" in tier \"" +
                                                       parsed.tier->name + "\".");
    }
    parsed.is_idempotent = parsed.route->idempotent && parsed.is_idempotent_for_caller;
    if (!parsed.is_idempotent && parsed.idempotency_key.empty()) {
        throw request_error(error_kind::idempotency_key_required);
    }
}

void read_key(call& parsed, const http::request& received) {
    parsed.is_idempotent_for_caller = http::find_header(received.headers, idempotent_header) != "no";
    const auto key = http::find_header(received.headers, idempotency_key_header);
    if (!key) {
        return;
    }
    if (key->empty() || key->size() > max_key_length) {
        throw request_error(error_kind::bad_request, "Idempotency-Key must have 1 to 256 characters.");
    }
    parsed.idempotency_key = *key;
    parsed.resend_key = std::max<std::uint64_t>(1, hash_bytes(*key, hash_bytes(parsed.workspace->name)));
}

void read_deadline(call& parsed, const http::request& received, std::chrono::milliseconds fallback) {
    auto allowed = fallback;
    if (const auto text = http::find_header(received.headers, deadline_header)) {
        const auto requested = settings::parse_duration(*text);
        if (!requested || requested->count() == 0) {
            throw request_error(error_kind::bad_request,
                                "X-Deadline must be a duration with its unit, for example 1500ms.");
        }
        allowed = std::min(*requested, std::chrono::milliseconds(std::chrono::hours(1)));
    }
    parsed.deadline = parsed.received + allowed;
}

} // namespace

const configuration::workspace& find_workspace(const configuration::configuration& current,
                                               const http::request& received) {
    if (current.is_empty()) {
        throw request_error(error_kind::no_configuration, {}, no_configuration_retry_after);
    }
    const auto header = http::find_header(received.headers, "Authorization");
    if (!header || !header->starts_with(bearer)) {
        throw request_error(error_kind::unauthorized, "The request needs \"Authorization: Bearer KEY\".");
    }
    const auto* found = current.find_workspace_by_key_hash(sha256_hex(header->substr(bearer.size())));
    if (found == nullptr) {
        throw request_error(error_kind::unauthorized);
    }
    return *found;
}

call parse_call(const request_id& id, std::shared_ptr<const configuration::configuration> current,
                const http::request& received, std::chrono::milliseconds default_deadline) {
    call parsed;
    parsed.id = id;
    parsed.configuration = std::move(current);
    parsed.workspace = &find_workspace(*parsed.configuration, received);
    parsed.method = received.method;
    parsed.path = received.target;
    parsed.content_type =
        std::string(http::find_header(received.headers, "Content-Type").value_or("application/json"));

    const auto path = http::path_of(received.target);
    if (path == chat_path || path == completion_path) {
        if (received.method != "POST") {
            throw request_error(error_kind::method_not_allowed, "Completions take POST.");
        }
        read_completion(parsed, received, path);
    } else if (path.starts_with(services_path)) {
        read_service_call(parsed, path);
    } else {
        throw request_error(error_kind::not_found);
    }
    choose_tier(parsed, received);
    read_key(parsed, received);
    choose_route(parsed);
    read_deadline(parsed, received, default_deadline);
    parsed.body = received.body;
    parsed.fingerprint = hash_bytes(parsed.body, hash_bytes(parsed.path, hash_bytes(parsed.workspace->name)));
    return parsed;
}

void update_call(call& request, std::shared_ptr<const configuration::configuration> current) {
    const auto* workspace = current->find_workspace(request.workspace->name);
    if (workspace == nullptr) {
        throw request_error(error_kind::unauthorized, "The workspace is no longer in the configuration.");
    }
    const auto* tier = current->find_tier(request.tier->name);
    const auto* highest = current->find_tier(workspace->tier);
    if (tier == nullptr || (highest != nullptr && tier->rank < highest->rank)) {
        tier = highest;
    }
    if (!request.is_service && current->find_model(request.target) == nullptr) {
        throw request_error(error_kind::unknown_model);
    }
    if (request.is_service && current->find_service(request.target) == nullptr) {
        throw request_error(error_kind::unknown_service);
    }
    request.workspace = workspace;
    request.tier = tier;
    request.configuration = std::move(current);
    choose_route(request);
}

} // namespace borageford::entry

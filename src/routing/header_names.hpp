// Names of the HTTP header fields that callers, this system and backend servers use to describe a request.
// They are configured for each deployment; the names of the users' platform are in the folder platform/.
#pragma once

#include <string>

namespace borageford::routing {

/// One name for each header field.
struct header_names {
    // Sent by the caller and forwarded unchanged.
    std::string request_id;
    std::string model;
    std::string tokens;          ///< prompt tokens and maximum output tokens, such as "1460,80"
    std::string prompt_parts;    ///< "ID:TOKENS,ID:TOKENS"; the part specific to this request is last
    std::string expected_length; ///< number of output tokens that the caller expects
    std::string last_event;      ///< id of the last event of a stream that the caller has received

    /// Id of the caller's request that brought the first event of the stream that this request resumes.
    std::string resumed_request;

    // Sent by the caller; read and replaced by this system.
    std::string deadline; ///< remaining time in milliseconds
    std::string workspace;

    // Only set by this system; removed from a caller's request.
    std::string expected_server;
    std::string hold;
    std::string pin_time;
    std::string kv_cache_backup;
    std::string kv_cache_source;
    std::string kv_cache_fetch;

    // Sent in answers.
    std::string not_executed; ///< the server reports that it didn't run the request
    std::string signature;    ///< the server's proof that it wrote the answer itself
    /// Requests per second that the server accepts from all gateways together, until an answer of it has no
    /// such field.
    std::string rate_limit;
    /// In an answer that refuses a request: the seconds for which the server wants no request from this
    /// gateway.
    std::string backoff;
    std::string leaving; ///< the server is about to end and should get no further requests
};

} // namespace borageford::routing

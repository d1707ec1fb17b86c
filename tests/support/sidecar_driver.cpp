// Sends the messages of the dispatch protocol through a peer_client and collects the answers.
#include "support/sidecar_driver.hpp"

#include "support/answer_text.hpp"
#include "support/http_caller.hpp"
#include "support/wait_until.hpp"

#include <stdexcept>

namespace borageford::test {

sidecar_driver::sidecar_driver(cluster& system) : m_system(system) {
    wait_until_ready();
    peer_client probe(m_system.backend(0).link->address(), 0);
    m_incarnation = wire::from_wire(probe.hello().incarnation);
    m_revision = probe.hello().revision;
}

void sidecar_driver::wait_until_ready() const {
    const auto& status = m_system.backend(0).status_address;
    wait_until("the sidecar's readiness",
               [&] { return call(status, {"GET", "/readyz", {}, {}}).status == 200; });
}

peer_client sidecar_driver::connect() const {
    return peer_client(m_system.backend(0).link->address(), m_revision);
}

dispatch_id sidecar_driver::offer(peer_client& entry, const http::request& work,
                                  const offer_options& options) const {
    const auto dispatch = identifier::random();
    wire::offer_message offer;
    offer.dispatch = wire::to_wire(dispatch);
    offer.request = wire::to_wire(identifier::random());
    offer.workspace = options.workspace;
    offer.tier = options.tier;
    offer.target = m_system.backend(0).options.is_service ? "kudos" : "pluma";
    offer.is_service = m_system.backend(0).options.is_service;
    offer.idempotent = options.idempotent;
    offer.prompt_tokens = options.prompt_tokens;
    offer.expected_output_tokens = 20;
    offer.fingerprint = options.fingerprint != 0 ? options.fingerprint : fingerprint_of(work.body);
    offer.resend_key = options.resend_key;
    offer.deadline_ms = options.deadline_ms;
    entry.send(std::move(offer));
    return dispatch;
}

void sidecar_driver::start(peer_client& entry, const dispatch_id& dispatch, const http::request& work,
                           std::uint64_t revision) const {
    wire::start_message start;
    start.dispatch = wire::to_wire(dispatch);
    start.revision = revision != 0 ? revision : m_revision;
    start.method = work.method;
    start.path = work.target;
    start.content_type = "application/json";
    start.body.assign(work.body.begin(), work.body.end());
    start.streamed = work.body.find("\"stream\":true") != std::string::npos;
    entry.send(std::move(start));
}

void sidecar_driver::grant_and_start(peer_client& entry, const dispatch_id& dispatch,
                                     const http::request& work) const {
    entry.wait_for<wire::grant_message>(dispatch);
    start(entry, dispatch, work);
}

void sidecar_driver::attach(peer_client& entry, const dispatch_id& dispatch, std::uint64_t offset,
                            std::uint64_t granted_at_ms) const {
    wire::attach_message attach;
    attach.dispatch = wire::to_wire(dispatch);
    attach.incarnation = wire::to_wire(m_incarnation);
    attach.offset = offset;
    attach.granted_at_ms = granted_at_ms;
    entry.send(std::move(attach));
}

driven_answer sidecar_driver::read_answer(peer_client& entry, const dispatch_id& dispatch,
                                          std::uint64_t offset) const {
    driven_answer answer;
    answer.end = entry.wait_for<wire::answer_end_message>(dispatch);
    if (entry.has<wire::answer_head_message>(dispatch)) {
        answer.head = entry.wait_for<wire::answer_head_message>(dispatch);
    }
    while (entry.has<wire::chunk_message>(dispatch)) {
        const auto chunk = entry.wait_for<wire::chunk_message>(dispatch);
        if (chunk.offset != offset + answer.body.size()) {
            throw std::runtime_error("a chunk is missing, repeated or out of order");
        }
        answer.body.append(chunk.data.begin(), chunk.data.end());
    }
    return answer;
}

} // namespace borageford::test

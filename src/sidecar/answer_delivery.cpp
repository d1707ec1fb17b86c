// Implementation of answer_delivery, which sends the bytes of answers to entry processes in chunks.
#include "sidecar/answer_delivery.hpp"

#include <algorithm>
#include <utility>

namespace borageford::sidecar {
namespace {

/// Bytes on a connection above which a server waits for its answer's readers.
constexpr std::size_t much_unsent = 1024U * 1024;

} // namespace

void answer_delivery::deliver(dispatch_record& dispatch) {
    for (auto& reader : dispatch.readers) {
        deliver_to(dispatch, reader);
    }
    if (dispatch.answer.ending()) {
        dispatch.readers.clear();
    }
}

void answer_delivery::add_reader(dispatch_record& dispatch, connection_id connection, std::uint64_t offset) {
    remove_reader(dispatch, connection);
    dispatch.readers.push_back({connection, offset, false});
    deliver(dispatch);
}

bool answer_delivery::is_behind(const dispatch_record& dispatch) const {
    const auto has_much_unsent = [this](const answer_reader& reader) {
        return m_peers.unsent_bytes(reader.connection) > much_unsent;
    };
    return !dispatch.readers.empty() && std::ranges::all_of(dispatch.readers, has_much_unsent);
}

bool answer_delivery::remove_reader(dispatch_record& dispatch, connection_id connection) {
    return std::erase_if(dispatch.readers, [connection](const answer_reader& reader) {
               return reader.connection == connection;
           }) > 0;
}

void answer_delivery::deliver_to(const dispatch_record& dispatch, answer_reader& reader) {
    const auto id = wire::to_wire(dispatch.request.dispatch);
    const auto& answer = dispatch.answer;
    if (answer.head() && !reader.has_head) {
        wire::answer_head_message head;
        head.dispatch = id;
        head.status = static_cast<std::uint16_t>(answer.head()->status);
        head.content_type = answer.head()->content_type;
        m_peers.send(reader.connection, std::move(head));
        reader.has_head = true;
    }
    for (auto piece = answer.from(reader.next_offset); !piece.empty();
         piece = answer.from(reader.next_offset)) {
        wire::chunk_message chunk;
        chunk.dispatch = id;
        chunk.offset = reader.next_offset;
        chunk.data.assign(piece.begin(), piece.end());
        m_peers.send(reader.connection, std::move(chunk));
        reader.next_offset += piece.size();
    }
    if (answer.ending()) {
        send_end(dispatch, reader.connection);
    }
}

void answer_delivery::send_end(const dispatch_record& dispatch, connection_id connection) {
    const auto& ending = *dispatch.answer.ending();
    wire::answer_end_message end;
    end.dispatch = wire::to_wire(dispatch.request.dispatch);
    end.total_length = dispatch.answer.length();
    end.failed = ending.failure.has_value();
    if (ending.failure) {
        end.error_kind = wire::to_wire(*ending.failure);
    }
    end.retry_after_ms = static_cast<std::uint32_t>(ending.retry_after.count());
    end.prompt_tokens = ending.usage.prompt_tokens;
    end.cached_tokens = ending.usage.cached_tokens;
    end.output_tokens = ending.usage.output_tokens;
    m_peers.send(connection, std::move(end));
}

} // namespace borageford::sidecar

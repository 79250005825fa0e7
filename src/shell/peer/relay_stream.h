#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/peer/peer_identity.h"
#include "src/shell/peer/write_pacer.h"

#include <memory>

namespace sequoiawharf
{

class peer_stream;

/// Writes bytes to a stream in chunks that the pacer admits, and returns their number. Returns TimedOut when the pacer cannot admit a chunk before
/// the given time. pacer may be null: the bytes are then written at once.
stream_awaitable<std::size_t> writePaced(peer_stream &stream, write_pacer *pacer, route_class priority, std::span<const char> bytes, mono_time until);

/// Reads the body of a relayed call from its stream. A read that has no bytes to return by the given time fails with TimedOut.
class relayed_body : public body_source
{
public:
    relayed_body(std::shared_ptr<peer_stream> stream, mono_time until);

    stream_awaitable<std::size_t> read(std::span<char> buffer) override;
    void cancel() override;

private:
    std::shared_ptr<peer_stream> m_stream;
    mono_time m_until;
};

/// Writes the answer of a relayed call to its stream.
class relayed_answer : public answer_sink
{
public:
    /// pacer may be null; it outlives the object. until: deadline of the call.
    relayed_answer(std::shared_ptr<peer_stream> stream, peer_identity self, write_pacer *pacer, route_class priority, mono_time until);

    stream_awaitable<std::size_t> start(const answer_head &head) override;
    stream_awaitable<std::size_t> write(std::span<const char> bytes) override;
    stream_awaitable<std::size_t> finish() override;
    void abort() override;
    bool isReceiverGone() const override;
    void onReceiverGone(std::function<void()> action) override;

    /// Returns whether finish() or abort() was called.
    bool ended() const
    {
        return m_ended;
    }

private:
    std::shared_ptr<peer_stream> m_stream;
    peer_identity m_self;
    write_pacer *m_pacer;
    route_class m_priority;
    mono_time m_until;
    bool m_ended = false;
};

} // namespace sequoiawharf

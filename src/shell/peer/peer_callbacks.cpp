#include "src/shell/peer/peer_callbacks.h"

#include "src/shell/peer/peer_stream.h"

namespace sequoiawharf
{

namespace
{

std::string_view toView(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

} // namespace

struct peer_session::frame_handlers {
    static peer_session &self(void *user)
    {
        return *static_cast<peer_session *>(user);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &session = self(user);
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            const auto id = frame->hd.stream_id;
            auto stream = std::make_shared<peer_stream>(session.weak_from_this(), id);
            stream->m_mayHaveBeenSent = true;
            session.m_streams.emplace(id, std::move(stream));
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameSize,
                        const std::uint8_t *value,
                        std::size_t valueSize,
                        std::uint8_t,
                        void *user)
    {
        if (const auto stream = self(user).find(frame->hd.stream_id)) {
            stream->handleHeader(toView(name, nameSize), toView(value, valueSize));
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &session = self(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            session.m_peerStopping = true;
        }
        const auto stream = session.find(frame->hd.stream_id);
        if (!stream || (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)) {
            return 0;
        }
        const bool headReceived = frame->hd.type == NGHTTP2_HEADERS && !stream->m_headComplete;
        if (headReceived) {
            stream->handleHeadEnd();
        }
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            stream->handleEndStream();
        }
        if (headReceived && session.m_role == side::Server && !stream->m_closed) {
            session.m_accept(stream);
        }
        return 0;
    }

    static int onData(nghttp2_session *raw, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t size, void *user)
    {
        // The connection's window is released at once and the stream's window only when the bytes are read, so that one slow reader does not block the other
        // streams.
        nghttp2_session_consume_connection(raw, size);
        if (const auto stream = self(user).find(id)) {
            stream->handleData(toView(data, size));
        }
        return 0;
    }

    static int onClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
    {
        auto &session = self(user);
        if (const auto stream = session.find(id)) {
            stream->handleClose(code);
            session.m_streams.erase(id);
            session.m_flushed.notify();
        }
        return 0;
    }

    static int beforeSend(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        if (const auto stream = self(user).find(frame->hd.stream_id)) {
            stream->m_mayHaveBeenSent = true;
        }
        return 0;
    }

    static int onSent(nghttp2_session *raw, const nghttp2_frame *frame, void *user)
    {
        auto &session = self(user);
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && frame->hd.type != NGHTTP2_GOAWAY;
        const auto stream = session.find(frame->hd.stream_id);
        if (session.m_role == side::Server && ends && stream && stream->state() == stream_state::Open) {
            // The answer is complete, so the rest of the request is not needed.
            nghttp2_submit_rst_stream(raw, NGHTTP2_FLAG_NONE, stream->id(), NGHTTP2_NO_ERROR);
        }
        return 0;
    }

    static int onNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *user)
    {
        auto &session = self(user);
        const auto stream = frame->hd.type == NGHTTP2_HEADERS ? session.find(frame->hd.stream_id) : nullptr;
        if (stream) {
            stream->handleClose(NGHTTP2_INTERNAL_ERROR);
            session.m_streams.erase(stream->id());
        }
        return 0;
    }
};

ssize_t peer_session::callbacks::fillBody(
    nghttp2_session *, std::int32_t id, std::uint8_t *buffer, std::size_t size, std::uint32_t *flags, nghttp2_data_source *, void *user)
{
    const auto stream = static_cast<peer_session *>(user)->find(id);
    if (!stream) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    bool ended = false;
    const auto filled = stream->fillBody({reinterpret_cast<char *>(buffer), size}, ended);
    if (ended) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return filled;
}

nghttp2_session *peer_session::callbacks::makeSession(side role, peer_session *owner)
{
    nghttp2_session_callbacks *table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(table, frame_handlers::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(table, frame_handlers::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, frame_handlers::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, frame_handlers::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, frame_handlers::onClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(table, frame_handlers::beforeSend);
    nghttp2_session_callbacks_set_on_frame_send_callback(table, frame_handlers::onSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(table, frame_handlers::onNotSent);
    nghttp2_option *options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_session *session = nullptr;
    const auto make = role == side::Client ? nghttp2_session_client_new2 : nghttp2_session_server_new2;
    make(&session, table, owner, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(table);
    return session;
}

} // namespace sequoiawharf

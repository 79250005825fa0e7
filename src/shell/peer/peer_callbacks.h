#pragma once

#include "src/shell/peer/peer_session.h"

#include <nghttp2/nghttp2.h>

namespace sequoiawharf
{

/// Callbacks of a peer_session for nghttp2. All but makeSession() run inside nghttp2_session_mem_recv() or nghttp2_session_mem_send().
struct peer_session::callbacks {
    /// Returns a new nghttp2 session whose callbacks act on the owner. The owner deletes it.
    static nghttp2_session *makeSession(side role, peer_session *owner);

    /// Fills the buffer with the next bytes of a stream's body. This is nghttp2's read callback.
    static ssize_t
    fillBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer, std::size_t size, std::uint32_t *flags, nghttp2_data_source *, void *user);
};

} // namespace sequoiawharf

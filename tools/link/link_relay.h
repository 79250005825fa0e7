#pragma once

#include "sequoiawharf/ids.h"
#include "tools/link/link_lane.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <memory>
#include <unordered_set>

namespace sequoiawharf::stand_in
{

class link_pipe;

/// The fault switches and the open connections of the link. Not thread safe.
struct link_state {
    link_lane forward {"forward"}; ///< From the first side to the second.
    link_lane backward {"backward"};
    bool cut = false; ///< New connections are closed at once, and open ones are closed.
    std::uint64_t serial = 0; ///< Number of the newest connection.
    std::uint64_t silentUpTo = 0; ///< Bytes of connections up to this number are discarded, and their ends are not passed on.
    std::unordered_set<link_pipe *> pipes;

    /// Closes every open connection.
    void closeAll();
};

/// Maps a listening address on one side of the link to a server on the other.
struct link_map {
    host_port listen;
    host_port server;
    bool reverse = false; ///< The listening side is the second one.
};

/// Listens at the map's address and relays its connections across the link until the process ends.
tl::expected<void, std::string> serveMap(boost::asio::io_context &context, link_state &state, const link_map &map);

} // namespace sequoiawharf::stand_in

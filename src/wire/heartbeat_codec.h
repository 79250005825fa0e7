#pragma once

#include "src/wire/codec.h"

namespace sequoiawharf
{

namespace wire
{
class heartbeat;
} // namespace wire

/// Copies a heartbeat into the generated message. Thread safe.
void writeHeartbeat(const heartbeat_message &message, wire::heartbeat &out);

/// Checks the generated message and returns it as a heartbeat, or the first error found. Thread safe.
tl::expected<heartbeat_message, codec_error> readHeartbeat(const wire::heartbeat &in);

} // namespace sequoiawharf

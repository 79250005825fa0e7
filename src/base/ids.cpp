#include "sequoiawharf/ids.h"

#include <fmt/format.h>

namespace sequoiawharf
{

std::string toString(const host_port &address)
{
    return fmt::format("{}:{}", address.host, address.port);
}

std::string formatCallId(call_id id)
{
    return fmt::format("{:016x}", id);
}

} // namespace sequoiawharf

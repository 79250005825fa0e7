#pragma once

#include "sequoiawharf/route_table.h"
#include "sequoiawharf/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>

namespace sequoiawharf
{

/// Delays writes on the link between regions so that they stay within its budget. Implementations are thread safe and take no lock.
class write_pacer
{
public:
    virtual ~write_pacer() = default;

    /// Waits until the bytes may be sent. Returns false when they may not be sent before the deadline.
    virtual boost::asio::awaitable<bool> admit(route_class priority, std::size_t bytes, mono_time deadline) = 0;

    /// Returns the largest number of bytes that one call of admit() accepts.
    virtual std::size_t quantum() const = 0;
};

} // namespace sequoiawharf

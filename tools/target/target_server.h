#pragma once

#include "tools/target/target_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

namespace sequoiawharf::stand_in
{

/// Listens at the endpoint's address and serves its calls on the context until the process ends.
tl::expected<void, std::string> serveEndpoint(boost::asio::io_context &context, target_endpoint &self, const target_options &options);

} // namespace sequoiawharf::stand_in

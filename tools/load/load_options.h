#pragma once

#include "sequoiawharf/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiawharf::stand_in
{

/// One kind of call in the mix.
struct call_kind {
    std::string name;
    std::string method;
    std::string path;
    std::size_t bodyBytes = 0;
    double weight = 1.0;
};

/// Options of the load generator.
struct load_options {
    std::vector<host_port> servers; ///< Entry instances, or endpoints when direct is set.
    bool direct = false; ///< Calls go straight to the servers, without a directory lookup.
    bool fixed = false; ///< Entry instances are used as given, without a directory lookup.
    std::string near; ///< Data centre that callers ask the directory for.
    double rate = 100.0;
    std::vector<call_kind> kinds;
    std::uint32_t callers = 20;
    double noisyShare = 0.0; ///< Share of the calls that the first caller makes.
    std::chrono::milliseconds duration {10'000};
    std::chrono::milliseconds timeout {10'000}; ///< How long a caller waits for one answer.
    std::uint64_t seed = 1;
    std::vector<host_port> targetAdmins; ///< Admin addresses of the targets, whose run lists are checked at the end.
    std::string resultFile;
    bool once = false;
    bool quiet = false;
};

/// Parses the command line and returns the options. Exits with a message on invalid arguments.
load_options readOptions(int argc, char **argv);

} // namespace sequoiawharf::stand_in

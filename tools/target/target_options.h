#pragma once

#include "sequoiawharf/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiawharf::stand_in
{

/// How the service times of one path spread around their mean.
enum class service_distribution { Fixed, Exponential, Lognormal };

/// Mean service time of the paths with one prefix.
struct service_rule {
    std::string pathPrefix;
    std::chrono::duration<double, std::milli> mean {5.0};
};

/// Options that all endpoints of the process share.
struct target_options {
    std::vector<host_port> endpoints;
    host_port admin;
    std::uint32_t slots = 4;
    std::uint32_t queue = 64;
    std::uint32_t maxConnections = 250;
    std::chrono::microseconds acceptCost {1000};
    std::vector<service_rule> service; ///< The first matching rule applies; the last has an empty prefix.
    service_distribution distribution = service_distribution::Exponential;
    std::uint64_t seed = 1;
    std::size_t answerBytes = 200;
};

/// Parses the command line and returns the options. Exits with a message on invalid arguments.
target_options readOptions(int argc, char **argv);

} // namespace sequoiawharf::stand_in

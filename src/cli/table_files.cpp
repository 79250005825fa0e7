#include "src/cli/table_files.h"

#include "src/config/table_yaml.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sequoiawharf::cli
{

namespace
{

namespace json = boost::json;

std::optional<table_file> readFile(const std::string &path, std::vector<file_fault> &faults)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        faults.push_back({path, {"the file cannot be read", 0}});
        return std::nullopt;
    }
    return table_file {path, text.str()};
}

void printFaults(const std::vector<file_fault> &faults, bool asJson)
{
    if (!asJson) {
        std::ranges::for_each(faults, [](const file_fault &fault) {
            fmt::print(stderr, "{}\n", toString(fault));
        });
        fmt::print(stderr, "{} faults\n", faults.size());
        return;
    }
    json::array list;
    std::ranges::for_each(faults, [&](const file_fault &fault) {
        list.push_back(json::object {{"file", fault.file}, {"line", fault.fault.line}, {"message", fault.fault.message}});
    });
    fmt::print("{}\n", json::serialize(json::object {{"outcome", "faulty"}, {"faults", std::move(list)}}));
}

} // namespace

std::optional<whole_tables> loadTables(const std::string &routesFile, const std::string &poolsFile, bool asJson)
{
    std::vector<file_fault> faults;
    const auto routes = readFile(routesFile, faults);
    const auto pools = readFile(poolsFile, faults);
    if (routes && pools) {
        auto tables = parseTables(*routes, *pools);
        if (tables) {
            return std::move(*tables);
        }
        faults = std::move(tables.error());
    }
    printFaults(faults, asJson);
    return std::nullopt;
}

} // namespace sequoiawharf::cli

#include "src/cli/printing.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf::cli
{

namespace
{

namespace json = boost::json;

std::string formatTime(wall_time time)
{
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(time);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time - seconds).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), millis);
}

} // namespace

json::object toJson(const record_verdict &entry)
{
    json::object out;
    out["offset"] = entry.offset;
    out["time"] = formatTime(entry.time);
    out["verdict"] = json::string_view(toString(entry.result).data(), toString(entry.result).size());
    out["detail"] = entry.detail;
    out["id"] = entry.id.str();
    out["base"] = entry.base;
    out["author"] = entry.author;
    out["note"] = entry.note;
    return out;
}

std::string toLine(const record_verdict &entry)
{
    auto line = fmt::format("{} {} {}", entry.offset, formatTime(entry.time), toString(entry.result));
    if (!entry.id.empty()) {
        line += fmt::format(" id={} base={} author=\"{}\" note=\"{}\"", entry.id.str(), entry.base, entry.author, entry.note);
    }
    if (!entry.detail.empty()) {
        line += fmt::format(" why=\"{}\"", entry.detail);
    }
    return line;
}

json::object toJson(const instance_status &instance)
{
    json::object out;
    out["instance"] = instance.id.str();
    out["admin"] = toString(instance.admin);
    out["data_centre"] = instance.dataCentre.str();
    out["region"] = instance.region.str();
    out["reached"] = instance.reached;
    out["ready"] = instance.ready;
    out["leaving"] = instance.listedLeaving;
    out["version"] = instance.version;
    out["why"] = instance.reason;
    return out;
}

json::array toJson(const std::vector<std::string> &lines)
{
    json::array list;
    std::ranges::for_each(lines, [&](const std::string &line) {
        list.emplace_back(json::string(line));
    });
    return list;
}

void printIndented(const std::vector<std::string> &lines)
{
    std::ranges::for_each(lines, [](const std::string &line) {
        fmt::print("  {}\n", line);
    });
}

} // namespace sequoiawharf::cli

#include "src/shell/gateway/directory_page.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::string_view kNearKey = "near=";

boost::json::object toJson(const directory_entry &entry)
{
    return {
        {"instance", entry.instance.str()},
        {"gateway", toString(entry.gateway)},
        {"data_centre", entry.dataCentre.str()},
        {"region", entry.region.str()},
    };
}

} // namespace

bool isDirectoryRequest(std::string_view target)
{
    return target.substr(0, target.find('?')) == kDirectoryPath;
}

data_centre_id parseNear(std::string_view target)
{
    const auto queryMark = target.find('?');
    const auto query = queryMark == std::string_view::npos ? std::string_view {} : target.substr(queryMark + 1);
    for (const auto part : std::views::split(query, '&')) {
        const std::string_view pair(part.begin(), part.end());
        if (pair.starts_with(kNearKey)) {
            return data_centre_id(std::string(pair.substr(kNearKey.size())));
        }
    }
    return {};
}

std::string formatDirectory(const directory_answer &answer)
{
    boost::json::array entries;
    std::ranges::transform(answer.entries, std::back_inserter(entries), toJson);
    const boost::json::object page {{"lifetime_ms", answer.lifetime.count()}, {"entries", std::move(entries)}};
    return boost::json::serialize(page) + '\n';
}

} // namespace sequoiawharf

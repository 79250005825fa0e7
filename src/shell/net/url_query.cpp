#include "src/shell/net/url_query.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace urls = boost::urls;

std::string encoded(std::string_view text)
{
    return urls::encode({text.data(), text.size()}, urls::unreserved_chars);
}

std::optional<std::string> decoded(std::string_view text)
{
    const auto view = urls::make_pct_string_view({text.data(), text.size()});
    return view ? std::optional(view->decode(urls::encoding_opts(true))) : std::nullopt;
}

} // namespace

std::string formatTarget(std::string_view path, const query_parameters &query)
{
    std::string target(path);
    std::ranges::for_each(query, [&target, separator = '?'](const auto &parameter) mutable {
        target.append(1, std::exchange(separator, '&')).append(encoded(parameter.first)).append(1, '=').append(encoded(parameter.second));
    });
    return target;
}

std::optional<std::map<std::string, std::string>> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> query;
    for (const auto part : std::views::split(text.substr(0, text.find('#')), '&')) {
        const std::string_view pair(part.begin(), part.end());
        const auto equals = std::min(pair.find('='), pair.size());
        const auto name = decoded(pair.substr(0, equals));
        const auto value = decoded(pair.substr(std::min(equals + 1, pair.size())));
        if (!name || !value) {
            return std::nullopt;
        }
        if (!pair.empty()) {
            query.emplace(*name, *value);
        }
    }
    return query;
}

} // namespace sequoiawharf

#include "sequoiawharf/leaving_endpoints.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::seconds kKept {60};
constexpr std::size_t kMaxNotices = 4096;

} // namespace

bool leaving_endpoints::take(const leaving_notice &notice, mono_time now)
{
    const bool known = m_learned.contains({notice.pool, notice.endpoint});
    if (known || notice.age >= kKept || m_learned.size() >= kMaxNotices) {
        return false;
    }
    m_learned.emplace(key {notice.pool, notice.endpoint}, now - notice.age);
    return true;
}

void leaving_endpoints::expire(mono_time now)
{
    std::erase_if(m_learned, [&](const auto &item) {
        return now - item.second >= kKept;
    });
}

std::vector<leaving_notice> leaving_endpoints::notices(mono_time now) const
{
    std::vector<leaving_notice> all;
    std::ranges::transform(m_learned, std::back_inserter(all), [&](const auto &item) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.second);
        return leaving_notice {item.first.first, item.first.second, age};
    });
    return all;
}

} // namespace sequoiawharf

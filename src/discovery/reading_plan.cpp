#include "sequoiawharf/reading_plan.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view kReaderRole = "endpoints";
constexpr std::size_t kStartReaders = 2; // the other one reads when the first is listed and gone
constexpr milliseconds kOwnRead {300}; // a read of the service across regions, with its connection

} // namespace

// A change is known everywhere after a read, a question and the ways: three quarters of the bound.
reading_times reading_times::within(milliseconds leavingBound)
{
    return {.readInterval = leavingBound * 2 / 5, .askInterval = leavingBound * 3 / 10, .maxAnswerAge = leavingBound / 2};
}

reading_part chooseReadingRole(const instance_id &self, std::vector<instance_id> others, bool isStarting)
{
    const auto weightOf = [](const instance_id &id) {
        return rendezvousWeight(kReaderRole, id.str());
    };
    std::ranges::sort(others, std::ranges::greater {}, weightOf);
    const auto rank = std::ranges::count_if(others, [&, own = weightOf(self)](const instance_id &other) {
        return weightOf(other) > own;
    });
    const bool isSmall = others.size() < kSmallDataCentre;
    const std::size_t wanted = isStarting ? kStartReaders : 1;
    return {.isReader = static_cast<std::size_t>(rank) < wanted || (isStarting && isSmall), .readers = std::move(others)};
}

bool mayUseReaderForConfiguration(const reading_times &times, milliseconds configurationBound, std::size_t others)
{
    return others >= kSmallDataCentre && times.maxAnswerAge + times.askInterval + kAskTimeout + kOwnRead <= configurationBound;
}

} // namespace sequoiawharf

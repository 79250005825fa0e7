#include "sequoiawharf/reading_plan.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view kReaderRole = "endpoints";
constexpr std::size_t kStartReaders = 2; // the second one reads when the first is known but gone
constexpr milliseconds kServiceReadTime {300}; // read of the service in another region, including connection setup

constexpr std::uint64_t kEarlyReaderOneIn = 16; // two or three in a data centre of 40; the service's link to another region carries their reads

std::uint64_t readerWeight(const instance_id &id)
{
    return rendezvousWeight(kReaderRole, id.str());
}

} // namespace

// All instances know a change after a read, a query and the network delays: three quarters of the bound.
reading_times reading_times::within(milliseconds leavingBound)
{
    return {.readInterval = leavingBound * 2 / 5, .askInterval = leavingBound * 3 / 10, .maxAnswerAge = leavingBound / 2};
}

// Three tenths of the bound for the wait, so that the poll costs about as many calls as reading the endpoints, and half as much for an answer that is
// delayed by a slow service or a full link.
poll_times poll_times::within(milliseconds configurationBound)
{
    return {.wait = configurationBound * 3 / 10, .answerTimeout = configurationBound * 3 / 20};
}

// A proof counts from the time at which the poll was sent, so it is up to two waits old when the next one arrives.
poll_times poll_times::withinRevocation(milliseconds revocationBound)
{
    return {.wait = revocationBound / 5, .answerTimeout = revocationBound * 3 / 20};
}

reading_role chooseReadingRole(const instance_id &self, std::vector<instance_id> others, bool isStarting)
{
    std::ranges::sort(others, std::ranges::greater {}, readerWeight);
    const auto rank = std::ranges::count_if(others, [own = readerWeight(self)](const instance_id &other) {
        return readerWeight(other) > own;
    });
    const bool isSmallDataCentre = others.size() < kSmallDataCentre;
    const std::size_t readerCount = isStarting ? kStartReaders : 1;
    return {.isReader = static_cast<std::size_t>(rank) < readerCount || (isStarting && isSmallDataCentre), .readers = std::move(others)};
}

bool readsAtOnce(const instance_id &self)
{
    return readerWeight(self) >= std::numeric_limits<std::uint64_t>::max() / kEarlyReaderOneIn * (kEarlyReaderOneIn - 1);
}

bool mayUseReaderForConfiguration(const reading_times &times, milliseconds configurationBound, std::size_t others)
{
    const auto poll = poll_times::within(configurationBound);
    const auto readerIsLost = times.maxAnswerAge + times.askInterval + kAskTimeout + kServiceReadTime;
    const auto pollIsLost = poll.wait + poll.answerTimeout + kServiceReadTime + times.askInterval;
    return others >= kSmallDataCentre && std::max(readerIsLost, pollIsLost) <= configurationBound;
}

} // namespace sequoiawharf

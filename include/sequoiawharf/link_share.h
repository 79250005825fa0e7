#pragma once

#include <cstdint>

namespace sequoiawharf
{

/// Determines the share of the link between regions that this instance may use, without exact figures of the other instances. The share is at
/// least an equal part. It grows in small steps while the instance needs more and the others' last reports leave the link idle, and shrinks at
/// once when the others report more use. Not thread safe.
class link_share
{
public:
    /// bytesPerSecond: rate of the whole link in one direction. controlBytesPerSecond: rate reserved for control traffic of each instance.
    link_share(std::uint64_t bytesPerSecond, std::uint64_t controlBytesPerSecond);

    /// Returns the share for the next second in bytes per second. Precondition: called once a second. instances: live instances of the region,
    /// this one included. ownBytes: bytes that calls of this instance sent in the last second. othersPercent: use of the link by the other
    /// instances in percent, by their last reports.
    std::uint64_t update(unsigned instances, std::uint64_t ownBytes, unsigned othersPercent);

    /// Returns the bytes of one second as a percentage of the link, rounded up and at most 100, to report to the other instances.
    std::uint8_t percentOf(std::uint64_t bytes) const;

private:
    std::uint64_t m_linkRate;
    std::uint64_t m_controlRate;
    std::uint64_t m_share = 0;
};

} // namespace sequoiawharf

#pragma once

#include "sequoiawharf/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// A load that an endpoint reported, packed into one atomic 64-bit word.
struct load_sample {
    float load = 0; ///< Calls at the endpoint divided by its slots; at most 255.
    std::uint32_t ownCalls = 0; ///< Own calls in flight at the endpoint when it reported the load; at most 255.
    mono_time at; ///< Time of the report.
};

inline constexpr int kSampleTimeShift = 16; // the packed time is in units of 65.5 us
inline constexpr std::uint64_t kSampleTimeMask = (std::uint64_t {1} << 40) - 1;
inline constexpr float kSampleLoadUnits = 256; // the packed load is in units of 1/256

/// Returns the packed sample, which is never 0. Thread safe.
inline std::uint64_t packSample(const load_sample &sample)
{
    const auto time = (static_cast<std::uint64_t>(sample.at.time_since_epoch().count()) >> kSampleTimeShift) & kSampleTimeMask;
    const auto load = static_cast<std::uint64_t>(std::lround(std::clamp(sample.load, 0.0F, 255.0F) * kSampleLoadUnits));
    const auto ownCalls = std::uint64_t {std::min(sample.ownCalls, 255U)};
    return std::max(std::uint64_t {1}, (time << 24) | (load << 8) | ownCalls);
}

/// Returns the unpacked sample, or nothing for 0. Thread safe.
inline std::optional<load_sample> unpackSample(std::uint64_t packed)
{
    if (packed == 0) {
        return std::nullopt;
    }
    const auto time = static_cast<std::int64_t>((packed >> 24) << kSampleTimeShift);
    return load_sample {
        .load = static_cast<float>((packed >> 8) & 0xffffU) / kSampleLoadUnits,
        .ownCalls = static_cast<std::uint32_t>(packed & 0xffU),
        .at = mono_time(std::chrono::nanoseconds(time)),
    };
}

} // namespace sequoiawharf

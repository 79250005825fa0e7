#pragma once

#include <cstdint>

namespace sequoiawharf
{

/// A seeded pseudorandom number generator, so that tests and benchmarks are reproducible. Not thread safe: use one per thread.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// Returns the next 64 random bits (SplitMix64; Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// Returns a number in [0, bound), nearly uniformly distributed: the probabilities of any two numbers differ by at most 2^-32.
    /// Precondition: 0 < bound < 2^32.
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(((next() >> 32) * bound) >> 32);
    }

    /// Returns a uniformly distributed number in [0, 1).
    double unit()
    {
        return static_cast<double>(next() >> 11) * 0x1.0p-53;
    }

private:
    std::uint64_t m_state;
};

} // namespace sequoiawharf

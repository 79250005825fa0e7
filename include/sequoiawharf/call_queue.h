#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// A call that waits for a place within its pool's concurrency limit, or for a slot of an endpoint.
struct waiting_call {
    std::uint64_t token = 0; ///< The queue owner's identifier of the call; unique within the queue.
    call_profile profile;
};

/// A bounded queue of the calls of one pool that wait on one thread, ordered by route class, then by deadline. Not thread safe: each thread has its
/// own queues.
///
/// The admission queue of a pool spans threads without locks. Threads are numbered from 0; T is the number of the calling thread:
/// 1. When admit() returns Wait: push() the call, call pool_balancer::waitStarted(T), then run step 2 once, since a place may have become free
///    between admit() and waitStarted().
/// 2. When woken: while the queue is not empty and pool_balancer::admitWaiting() returns true, pop() a call and run it. For each call that leaves
///    the queue, run or not, call pool_balancer::waitEnded(T, whether the queue still holds calls). When waitEnded() or release() returns a thread
///    number, post step 2 of this pool to that thread.
/// 3. Each call has its own timer, which expires at its deadline; the call then leaves the queue through remove() and ends as not run.
/// When admitWaiting() has reserved a place and pop() returns no call for it, return the place with release().
class call_queue
{
public:
    /// Creates an empty queue of at most capacity calls. Precondition: capacity > 0.
    explicit call_queue(std::size_t capacity);

    /// Inserts a call in order. When the queue is full, removes the last call in order, which may be the given one, and returns it, to be refused as
    /// overloaded.
    std::optional<waiting_call> push(const waiting_call &call);

    /// Removes and returns the first call whose deadline is later than now + minTime and that mayTake, if given, accepts; nothing when there is none.
    /// minTime: the shortest time in which a call can be answered.
    std::optional<waiting_call> pop(mono_time now, std::chrono::nanoseconds minTime, const std::function<bool(const waiting_call &)> &mayTake = {});

    /// Removes and returns all calls whose deadline is not later than now + minTime; they end as not run.
    std::vector<waiting_call> takeExpired(mono_time now, std::chrono::nanoseconds minTime);

    /// Removes the call with the token. Returns whether the queue held it.
    bool remove(std::uint64_t token);

    /// Returns whether a call with this profile would be first in order if it were pushed now. Calls that may not use all data centres of this one do not
    /// count, since slots there may pass them by.
    bool isFirst(const call_profile &call) const;

    std::size_t size() const
    {
        return m_calls.size();
    }
    bool empty() const
    {
        return m_calls.empty();
    }

private:
    std::size_t m_capacity;
    std::vector<waiting_call> m_calls; // in the order in which pop() returns them
};

} // namespace sequoiawharf

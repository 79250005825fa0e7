#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace sequoiawharf
{

/// Registers the calling thread as a reader of rcu_snapshot for the lifetime of the object. Every thread that calls rcu_snapshot::load() needs one.
/// Constructed and destroyed on the same thread.
class rcu_reader_thread
{
public:
    rcu_reader_thread()
    {
        urcu_memb_register_thread();
    }
    ~rcu_reader_thread()
    {
        urcu_memb_unregister_thread();
    }
    rcu_reader_thread(const rcu_reader_thread &) = delete;
    rcu_reader_thread &operator=(const rcu_reader_thread &) = delete;
};

/// Publishes the newest of a sequence of immutable values by read-copy-update. Readers never wait; a writer waits until no reader can still be
/// copying the pointer that it replaced.
template<typename value> class rcu_snapshot
{
public:
    using pointer = std::shared_ptr<const value>;

    /// Precondition: initial is not null.
    explicit rcu_snapshot(pointer initial)
        : m_current(new pointer(std::move(initial)))
    {
    }
    /// Precondition: no reader is left.
    ~rcu_snapshot()
    {
        delete m_current.load(std::memory_order_acquire);
    }
    rcu_snapshot(const rcu_snapshot &) = delete;
    rcu_snapshot &operator=(const rcu_snapshot &) = delete;

    /// Returns the newest value, which lives as long as the returned pointer. Precondition: the thread holds an rcu_reader_thread. Thread safe and
    /// wait-free.
    pointer load() const
    {
        urcu_memb_read_lock();
        pointer copy = *m_current.load(std::memory_order_acquire);
        releaseTag();
        urcu_memb_read_unlock();
        return copy;
    }

    /// Replaces the value. Blocks for a grace period, so it must not be called while a call is served. Precondition: next is not null. Thread safe.
    void store(pointer next)
    {
        const std::lock_guard lock(m_writer);
        pointer *const previous = m_current.exchange(new pointer(std::move(next)), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        acquireTag();
        delete previous;
    }

private:
    // ThreadSanitizer does not know that a grace period orders the readers' copies before the deletion; these annotations tell it.
    void releaseTag() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_release(&m_tag);
#endif
    }
    void acquireTag() const
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(&m_tag);
#endif
    }

    std::atomic<pointer *> m_current;
    std::mutex m_writer;
    mutable char m_tag = 0;
};

} // namespace sequoiawharf

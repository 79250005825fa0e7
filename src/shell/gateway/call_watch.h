#pragma once

#include "sequoiawharf/time.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace sequoiawharf
{

/// Ends a call early, and cancels what it waits for, at its deadline, when its caller disconnects or when the instance stops. Needs one timer per call.
/// Used on one thread.
class call_watch
{
    struct core;

public:
    enum class state { Running, TimedOut, CallerGone, Stopping };

    call_watch(const boost::asio::any_io_executor &executor, mono_time deadline);
    ~call_watch();
    call_watch(const call_watch &) = delete;
    call_watch &operator=(const call_watch &) = delete;

    /// Returns the current state; once it has left Running it does not change.
    state now() const;
    bool isRunning() const
    {
        return now() == state::Running;
    }

    /// Starts the timer, if it is not running yet. Must be called before the call first waits; a call that never waits needs no timer.
    void start();

    /// Ends the call early because its caller has disconnected.
    void callerGone();

    /// Ends the call at the time if it is still running then, because the instance stops. A later time than one set before has no effect.
    void stopAt(mono_time time);

    /// Sets an action to run once at the time, if the state is still Running then, and starts the timer. Replaces an alarm set before.
    void setAlarm(mono_time time, std::function<void()> action);

    /// Removes the alarm, if there is one.
    void clearAlarm();

    /// Registers an action, for the object's lifetime, to run when the call ends early; it runs at once when the call has ended early already.
    class scope
    {
    public:
        /// Precondition: the watch outlives the scope; the action neither creates nor destroys a scope.
        scope(call_watch &watch, std::function<void()> cancel);
        ~scope();
        scope(const scope &) = delete;
        scope &operator=(const scope &) = delete;

    private:
        friend class call_watch;

        std::shared_ptr<core> m_core;
        std::function<void()> m_cancel;
        scope *m_previous = nullptr;
        scope *m_next = nullptr;
    };

private:
    std::shared_ptr<core> m_core;
};

} // namespace sequoiawharf

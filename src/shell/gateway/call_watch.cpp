#include "src/shell/gateway/call_watch.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace sequoiawharf
{

struct call_watch::core {
    core(const boost::asio::any_io_executor &executor, mono_time callDeadline)
        : timer(executor)
        , deadline(callDeadline)
    {
    }

    void stop(state reason)
    {
        if (now != state::Running) {
            return;
        }
        now = reason;
        for (auto *current = firstScope; current != nullptr; current = current->m_next) {
            current->m_cancel();
        }
    }

    void timerExpired()
    {
        const auto time = std::chrono::steady_clock::now();
        if (alarm && time >= alarmTime) {
            std::exchange(alarm, {})();
        }
        if (time >= end()) {
            stop(stopTime < deadline ? state::Stopping : state::TimedOut);
        }
    }

    mono_time end() const
    {
        return std::min(deadline, stopTime);
    }

    static void startTimer(const std::shared_ptr<core> &self)
    {
        self->expiry = self->alarm ? std::min(self->alarmTime, self->end()) : self->end();
        self->timer.expires_at(self->expiry);
        self->timer.async_wait([self](const boost::system::error_code &cancelled) {
            if (cancelled || self->isDestroyed || self->now != state::Running) {
                return;
            }
            self->timerExpired();
            if (self->now == state::Running) {
                startTimer(self);
            }
        });
    }

    boost::asio::steady_timer timer;
    mono_time deadline;
    mono_time stopTime = mono_time::max(); ///< When the call ends because the instance stops.
    mono_time expiry = mono_time::max(); ///< When the timer expires; mono_time::max(): not started.
    mono_time alarmTime;
    std::function<void()> alarm;
    state now = state::Running;
    bool isDestroyed = false;
    scope *firstScope = nullptr;
};

call_watch::call_watch(const boost::asio::any_io_executor &executor, mono_time deadline)
    : m_core(std::make_shared<core>(executor, deadline))
{
}

call_watch::~call_watch()
{
    m_core->isDestroyed = true;
    m_core->timer.cancel();
}

call_watch::state call_watch::now() const
{
    return m_core->now;
}

void call_watch::start()
{
    if (m_core->expiry == mono_time::max()) {
        core::startTimer(m_core);
    }
}

void call_watch::callerGone()
{
    m_core->stop(state::CallerGone);
}

void call_watch::stopAt(mono_time time)
{
    m_core->stopTime = std::min(m_core->stopTime, time);
    const bool isStarted = m_core->expiry != mono_time::max();
    if (isStarted && m_core->stopTime < m_core->expiry) {
        core::startTimer(m_core);
    }
}

void call_watch::setAlarm(mono_time time, std::function<void()> action)
{
    m_core->alarm = std::move(action);
    m_core->alarmTime = time;
    if (time < m_core->expiry) {
        core::startTimer(m_core);
    }
}

void call_watch::clearAlarm()
{
    m_core->alarm = {};
}

call_watch::scope::scope(call_watch &watch, std::function<void()> cancel)
    : m_core(watch.m_core)
    , m_cancel(std::move(cancel))
    , m_next(m_core->firstScope)
{
    if (m_next != nullptr) {
        m_next->m_previous = this;
    }
    m_core->firstScope = this;
    if (m_core->now != state::Running) {
        m_cancel();
    }
}

call_watch::scope::~scope()
{
    if (m_next != nullptr) {
        m_next->m_previous = m_previous;
    }
    if (m_previous != nullptr) {
        m_previous->m_next = m_next;
    } else {
        m_core->firstScope = m_next;
    }
}

} // namespace sequoiawharf

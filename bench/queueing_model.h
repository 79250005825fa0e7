#pragma once

#include "sequoiawharf/call_queue.h"
#include "sequoiawharf/pool_balancer.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace sequoiawharf::bench
{

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

inline constexpr unsigned kInstances = 15;
inline constexpr unsigned kEndpoints = 20;
inline constexpr unsigned kSlots = 4;
inline constexpr std::size_t kEndpointQueue = 16; // waiting calls at which an endpoint refuses further ones
inline constexpr nanoseconds kService = 10ms; // mean of an exponential distribution
inline constexpr nanoseconds kOneWay = 500us;
inline constexpr nanoseconds kDeadline = 1s;
inline constexpr nanoseconds kShiftPeriod = 20ms;
inline constexpr unsigned kShiftedEndpoints = 5; // endpoints that get other work in each shift period
inline constexpr unsigned kShiftedCalls = 3; // jobs of other work at each of these endpoints
inline constexpr nanoseconds kPagePeriod = 100ms; // between two reads of a load page
inline constexpr nanoseconds kSharedAge = 20ms; // age of a load reading when all instances apply it

enum class fault { None, Straggler, FailFast, Shifting, FalseIdle };
enum class load_source { Answers, Pages, None };

/// Load and fault of one run.
struct conditions {
    std::string name;
    double load = 0; // share of the capacity that remains under the fault
    fault kind = fault::None;
    load_source source = load_source::Answers;
    bool hedges = false;
};

/// Results of one run, over the calls that arrived after the warm-up.
struct run_result {
    std::vector<double> latenciesMs; // of answered calls
    std::size_t calls = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t repeated = 0; // retries and hedges
};

/// Simulates instances, endpoints and calls in virtual time. The arrivals and the first service time of each call depend on the seed alone.
class queueing_model
{
public:
    queueing_model(const std::string &policy, const conditions &row, std::uint64_t seed)
        : m_row(row)
        , m_arrivals(seed)
        , m_choices(seed + 1)
    {
        pool definition;
        definition.slots = kSlots;
        for (unsigned i = 0; i < kEndpoints; ++i) {
            definition.endpoints.push_back({{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}, data_centre_id("a"), false});
        }
        for (unsigned i = 0; i < kInstances; ++i) {
            const locality place {instance_id(std::to_string(i)), data_centre_id("a"), {}, kInstances};
            m_instances.push_back({std::make_unique<pool_balancer>(definition, place, makeSelectionPolicy(policy), nullptr, m_now), call_queue(64)});
        }
    }

    /// Simulates the given duration, of which the first fifth is warm-up, and returns the results. Must be called only once. Not thread-safe.
    run_result run(nanoseconds duration)
    {
        m_warmUpEnd = m_now + duration / 5;
        m_end = m_now + duration;
        arrive();
        repeat(kShiftPeriod, m_row.kind == fault::Shifting, &queueing_model::shift);
        repeat(kPagePeriod, m_row.source == load_source::Pages, &queueing_model::readPages);
        while (!m_events.empty()) {
            const auto next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        return std::move(m_result);
    }

private:
    struct instance {
        std::unique_ptr<pool_balancer> balancer;
        call_queue queue;
    };
    struct call {
        mono_time arrived;
        nanoseconds service {0};
        unsigned from = 0; // instance
        call_profile profile;
        call_record record;
        bool isOver = false;
    };
    struct job {
        std::size_t call = 0; // index, or kOtherWork for other work
        nanoseconds service {0};
        mono_time started;
    };
    struct server {
        std::deque<job> waiting;
        unsigned busy = 0;
    };
    struct timed_action {
        mono_time at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const timed_action &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    static constexpr std::size_t kOtherWork = SIZE_MAX;

    void after(nanoseconds delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_order++, std::move(action)});
    }
    void repeat(nanoseconds period, bool isWanted, void (queueing_model::*action)())
    {
        if (isWanted && m_now < m_end) {
            (this->*action)();
            after(period, [this, period, action] {
                repeat(period, true, action);
            });
        }
    }
    static nanoseconds exponential(random_source &random, double meanNs)
    {
        return nanoseconds(static_cast<std::int64_t>(-std::log(1 - random.unit()) * meanNs));
    }
    const pool_balancer &balancerOf(const call &entry) const
    {
        return *m_instances[entry.from].balancer;
    }

    void arrive()
    {
        const double slotsHeld = m_row.kind == fault::Shifting ? kShiftedEndpoints * kShiftedCalls : 0;
        const double slotsLost = m_row.kind == fault::FailFast || m_row.kind == fault::Straggler ? kSlots : 0;
        const auto meanNs = static_cast<double>(kService.count());
        after(exponential(m_arrivals, meanNs / (m_row.load * (kEndpoints * kSlots - slotsHeld - slotsLost))), [this] {
            if (m_now < m_end) {
                start();
                arrive();
            }
        });
    }

    void start()
    {
        const auto id = m_calls.size();
        auto &entry = m_calls.emplace_back();
        entry.arrived = m_now;
        entry.service = exponential(m_arrivals, static_cast<double>(kService.count()));
        entry.from = m_arrivals.below(kInstances);
        entry.profile = {.idempotent = true, .replayable = true, .deadline = m_now + kDeadline, .callerHash = m_arrivals.below(100)};
        m_result.calls += m_now >= m_warmUpEnd ? 1 : 0;
        auto &place = m_instances[entry.from];
        switch (place.balancer->admit(entry.profile, m_now).verdict) {
        case admission::kind::Admitted:
            return attempt(id, entry.service);
        case admission::kind::Refused:
            return end(id, &run_result::refused);
        case admission::kind::Wait:
            break;
        }
        if (const auto dropped = place.queue.push({id, entry.profile})) {
            end(dropped->token, &run_result::refused);
        } else {
            place.balancer->waitStarted(0);
        }
        wake(place);
    }

    void wake(instance &place)
    {
        for (const auto &expired : place.queue.takeExpired(m_now, place.balancer->leastLatency())) {
            place.balancer->waitEnded(0, !place.queue.empty());
            end(expired.token, &run_result::refused);
        }
        while (!place.queue.empty() && place.balancer->admitWaiting()) {
            const auto next = place.queue.pop(m_now, 0ns);
            place.balancer->waitEnded(0, !place.queue.empty());
            attempt(next->token, m_calls[next->token].service);
        }
    }

    void attempt(std::size_t id, nanoseconds service)
    {
        auto &entry = m_calls[id];
        const auto target = balancerOf(entry).choose(entry.profile, entry.record.tried(), m_now, m_choices);
        if (!target) {
            return entry.record.outstanding() > 0 ? void() : finish(id, &run_result::failed);
        }
        balancerOf(entry).attemptStarted(*target, m_now);
        entry.record.attemptStarted(*target);
        after(kOneWay, [this, target, work = job {id, service, m_now}] {
            reach(*target, work);
        });
        const auto delay = m_row.hedges && entry.record.attempts() == 1 ? balancerOf(entry).hedgeDelay(entry.profile, m_now) : std::nullopt;
        if (delay) {
            after(*delay, [this, id] {
                hedge(id);
            });
        }
    }

    void hedge(std::size_t id)
    {
        auto &entry = m_calls[id];
        if (!entry.isOver && balancerOf(entry).admitHedge(entry.profile, entry.record, m_now)) {
            m_result.repeated += entry.arrived >= m_warmUpEnd ? 1 : 0;
            attempt(id, exponential(m_choices, static_cast<double>(kService.count())));
        }
    }

    void reach(unsigned target, const job &work)
    {
        if (m_row.kind == fault::FailFast && target == 0) {
            return answer(target, work, attempt_end::ServerError);
        }
        if (m_servers[target].waiting.size() >= kEndpointQueue) {
            return answer(target, work, attempt_end::Refused);
        }
        m_servers[target].waiting.push_back(work);
        serve(target);
    }

    void serve(unsigned target)
    {
        auto &state = m_servers[target];
        while (state.busy < kSlots && !state.waiting.empty()) {
            const auto work = state.waiting.front();
            state.waiting.pop_front();
            ++state.busy;
            after(work.service * (m_row.kind == fault::Straggler && target == 0 ? 10 : 1), [this, target, work] {
                --m_servers[target].busy;
                if (work.call != kOtherWork) {
                    answer(target, work, attempt_end::Answered);
                }
                serve(target);
            });
        }
    }

    float loadOf(unsigned target) const
    {
        const bool reportsIdle = m_row.kind == fault::FalseIdle && target == 0;
        return reportsIdle ? 0 : static_cast<float>(m_servers[target].busy + m_servers[target].waiting.size()) / kSlots;
    }

    void answer(unsigned target, const job &work, attempt_end result)
    {
        const auto load = m_row.source == load_source::Answers ? std::optional(loadOf(target)) : std::nullopt;
        after(kOneWay, [this, target, work, result, load] {
            auto &entry = m_calls[work.call];
            const attempt_outcome outcome {.end = result, .requestMayHaveLeft = true, .latency = m_now - work.started, .reportedLoad = load};
            balancerOf(entry).attemptEnded(target, outcome, m_now);
            entry.record.attemptEnded(outcome);
            if (!entry.isOver) {
                decide(work.call, result);
            }
        });
    }

    void decide(std::size_t id, attempt_end result)
    {
        auto &entry = m_calls[id];
        if (result == attempt_end::Answered) {
            if (entry.arrived >= m_warmUpEnd) {
                m_result.latenciesMs.push_back(std::chrono::duration<double, std::milli>(m_now - entry.arrived).count());
            }
            return finish(id, nullptr);
        }
        const auto next = balancerOf(entry).afterFailure(entry.profile, entry.record, m_now);
        if (next.step == next_step::kind::Retry) {
            m_result.repeated += entry.arrived >= m_warmUpEnd ? 1 : 0;
            attempt(id, entry.service);
        } else if (next.step == next_step::kind::Fail) {
            finish(id, next.ending == call_ending::NotRun ? &run_result::refused : &run_result::failed);
        }
    }

    void finish(std::size_t id, std::size_t run_result::*counter)
    {
        end(id, counter);
        balancerOf(m_calls[id]).release();
        wake(m_instances[m_calls[id].from]);
    }

    void end(std::size_t id, std::size_t run_result::*counter)
    {
        m_calls[id].isOver = true;
        if (m_calls[id].arrived >= m_warmUpEnd && counter != nullptr) {
            ++(m_result.*counter);
        }
    }

    void shift()
    {
        for (unsigned i = 0; i < kShiftedEndpoints; ++i) {
            const auto target = m_arrivals.below(kEndpoints);
            m_servers[target].waiting.insert(m_servers[target].waiting.begin(), kShiftedCalls, job {kOtherWork, kShiftPeriod, m_now});
            serve(target);
        }
    }

    // Two instances read each page and share the reading, so all instances apply the same load at the same time.
    void readPages()
    {
        for (unsigned target = 0; target < kEndpoints; ++target) {
            after(kPagePeriod * target / kEndpoints, [this, target] {
                const load_report report {.source = report_source::Shared, .load = loadOf(target), .age = kSharedAge};
                after(kSharedAge, [this, target, report] {
                    for (const auto &place : m_instances) {
                        place.balancer->applyReport(place.balancer->definition().endpoints[target].address, report, m_now);
                    }
                });
            });
        }
    }

    conditions m_row;
    random_source m_arrivals;
    random_source m_choices;
    mono_time m_now {1h};
    mono_time m_warmUpEnd;
    mono_time m_end;
    std::uint64_t m_order = 0;
    std::priority_queue<timed_action> m_events;
    std::vector<instance> m_instances;
    std::array<server, kEndpoints> m_servers;
    std::deque<call> m_calls;
    run_result m_result;
};

} // namespace sequoiawharf::bench

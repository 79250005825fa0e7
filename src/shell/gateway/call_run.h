#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/call_record.h"
#include "sequoiawharf/quota_account.h"
#include "sequoiawharf/slot_wait.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/admission_gate.h"
#include "src/shell/gateway/call_attempt.h"
#include "src/shell/gateway/call_memory.h"
#include "src/shell/gateway/call_watch.h"
#include "src/shell/gateway/refusal.h"
#include "src/shell/gateway/request_body.h"
#include "src/shell/gateway/running_call.h"
#include "src/shell/gateway/slot_queue.h"

#include <memory>
#include <optional>

namespace sequoiawharf
{

class call_engine;
class probe_round;
class routing;
enum class event_kind;
struct organisation;
struct route;

/// Runs one call, from its head to its single ending. Used by one coroutine and its hedge, on one thread.
class call_run : public running_call
{
public:
    /// Precondition: all arguments outlive the object.
    call_run(call_engine &engine, call_head &head, body_source &body, answer_sink &answer);
    ~call_run() override;

    /// Runs the call to its end: exactly one answer is written, or aborted when the caller has disconnected. Precondition: called once.
    boost::asio::awaitable<void> run();

    void stopAt(mono_time time) override;

    /// Returns the memory that the call holds.
    call_memory &memory()
    {
        return m_memory;
    }

private:
    // Before the first attempt.
    boost::asio::awaitable<std::optional<refusal>> waitUntilReady();
    std::optional<refusal> findRoute();
    std::optional<refusal> identifyCaller();
    boost::asio::awaitable<std::optional<refusal>> holdBody();
    std::optional<refusal> bodyRefusal() const;
    boost::asio::awaitable<std::optional<refusal>> takeToken();
    refusal tooLargeRefusal() const;
    refusal staleRefusal() const;
    refusal earlyEndRefusal() const;
    refusal memoryRefusal() const;
    refusal stopRefusal() const;
    bool isBoundByStop() const;
    refusal refusalFor(const next_step &step);
    bool isProbing() const;
    call_timing timing() const;

    // Attempts.
    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<std::optional<next_step>> nextAttempt();
    std::optional<std::uint32_t> chooseUnprobed(mono_time now);
    boost::asio::awaitable<std::optional<chosen_endpoint>> pickEndpoint();
    boost::asio::awaitable<std::optional<chosen_endpoint>> pickHedgeSlot();
    boost::asio::awaitable<std::optional<chosen_endpoint>> probeEndpoints(std::shared_ptr<probe_round> &round);
    boost::asio::awaitable<std::optional<chosen_endpoint>> acquireSlot();
    void useNewestBalancer();
    void offerFreedSlot(call_attempt &attempt);
    boost::asio::awaitable<void> probeByDistance(probe_round &round, bool isLarge);
    boost::asio::awaitable<std::optional<next_step>> attemptAt(chosen_endpoint chosen);
    void createAttempt(std::optional<call_attempt> &attempt, chosen_endpoint chosen);
    void cancelHedge();
    void setHedgeAlarm();
    void setStallAlarm();
    void startHedge();
    boost::asio::awaitable<void> runHedge();
    boost::asio::awaitable<void> waitForHedge();
    boost::asio::awaitable<void> finishAttempt(call_attempt &attempt);
    next_step nextStepAfterFailure();
    bool canRelay() const;
    boost::asio::awaitable<std::optional<next_step>> relay();

    // Endings.
    boost::asio::awaitable<void> forwardAnswer(call_attempt &winner);
    boost::asio::awaitable<void> forwardHeld(call_attempt &winner);
    boost::asio::awaitable<void> forwardStream(call_attempt &winner);
    boost::asio::awaitable<void> refuse(refusal response);
    void finish(call_ending ending, call_reason reason, unsigned status = 0);
    call_reason cutReason(call_reason otherwise) const;
    void finishUndelivered();
    std::string endingDetail(call_ending ending, call_reason reason, unsigned status) const;
    void record(event_kind kind, std::string detail) const;

    call_engine &m_engine;
    boost::asio::any_io_executor m_executor;
    call_head &m_head;
    body_source &m_source;
    answer_sink &m_answer;
    std::shared_ptr<const routing> m_routing;
    balancer_ptr m_balancer;
    const route *m_route = nullptr;
    const organisation *m_organisation = nullptr; ///< Of the caller; null: the route is public, or the configuration holds no organisations.
    bool m_isConfigurationFresh = true; ///< Keys may be checked. Set by findRoute().
    std::shared_ptr<quota_tokens> m_quota; ///< Of the caller's organisation; null: its calls are not limited, or another instance counts this one.
    std::optional<quota_token> m_token; ///< Taken for the first attempt.
    call_profile m_profile;
    mono_time m_arrived {}; ///< When the request had been read, including the held part of its body. Set by findRoute() and holdBody().
    call_memory m_memory;
    std::optional<request_body> m_body;
    std::optional<call_watch> m_watch;
    call_record m_record;
    std::optional<call_attempt> m_first;
    std::optional<call_attempt> m_hedge;
    call_attempt *m_winner = nullptr; ///< The first attempt with an answer to forward.
    std::optional<boost::asio::steady_timer> m_hedgeEnd; ///< Never expires; cancelled when the hedge has ended.
    std::shared_ptr<probe_round> m_probeRound; ///< Probes for the first attempt or a retry.
    std::shared_ptr<probe_round> m_hedgeProbeRound; ///< Probes for the hedge.
    bool m_isHedging = false; ///< runHedge() is running.
    bool m_isHedgeCancelled = false;
    bool m_hasNoSlotInTime = false; ///< No endpoint has a slot for the call, and none is expected in time.
    std::chrono::nanoseconds m_targetTime {0}; ///< Time that the targets of attempts took so far, hedges excluded.
    bool m_isOver = false; ///< The ending is determined.
};

} // namespace sequoiawharf

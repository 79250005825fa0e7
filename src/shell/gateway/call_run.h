#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/call_record.h"
#include "sequoiawharf/slot_wait.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/admission_gate.h"
#include "src/shell/gateway/call_attempt.h"
#include "src/shell/gateway/call_watch.h"
#include "src/shell/gateway/refusal.h"
#include "src/shell/gateway/request_body.h"
#include "src/shell/gateway/slot_queue.h"

#include <memory>
#include <optional>

namespace sequoiawharf
{

class call_engine;
class probe_round;
class routing;
enum class event_kind;
struct route;

/// One call from its head to its one ending.
class call_run
{
public:
    /// All arguments outlive the object.
    call_run(call_engine &engine, call_head &head, body_source &body, answer_sink &answer);
    ~call_run();

    /// Runs the call: exactly one answer is written, or the caller has gone. Precondition: called once.
    boost::asio::awaitable<void> toEnd();

private:
    // Before the first attempt.
    std::optional<refusal> findRoute();
    boost::asio::awaitable<std::optional<refusal>> holdBody();
    std::optional<refusal> bodyFault() const;
    refusal tooLarge() const;
    refusal endedEarly() const;
    refusal failed(const next_step &step);
    bool isProbing() const;
    call_timing timing() const;

    // Attempts.
    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<std::optional<next_step>> nextAttempt();
    std::optional<std::uint32_t> choose(mono_time now);
    boost::asio::awaitable<std::optional<chosen_endpoint>> pick();
    boost::asio::awaitable<std::optional<chosen_endpoint>> pickGoodSlot();
    boost::asio::awaitable<std::optional<chosen_endpoint>> lookAround(std::shared_ptr<probe_round> &round);
    boost::asio::awaitable<std::optional<chosen_endpoint>> placeOrWait();
    void passSlotOn(call_attempt &attempt);
    boost::asio::awaitable<void> askAround(probe_round &round, bool isLarge);
    boost::asio::awaitable<std::optional<next_step>> attemptAt(chosen_endpoint chosen);
    void makeAttempt(std::optional<call_attempt> &place, chosen_endpoint chosen);
    void giveUpHedge();
    void setHedgeAlarm();
    void setStallAlarm();
    void startHedge();
    boost::asio::awaitable<void> runHedge();
    boost::asio::awaitable<void> hedgeEnded();
    boost::asio::awaitable<void> conclude(call_attempt &attempt);
    bool canRelay() const;
    boost::asio::awaitable<std::optional<next_step>> relay();

    // Endings.
    boost::asio::awaitable<void> handOn(call_attempt &winner);
    boost::asio::awaitable<void> handHeld(call_attempt &winner);
    boost::asio::awaitable<void> handStreamed(call_attempt &winner);
    boost::asio::awaitable<void> refuse(refusal what);
    void finishAs(call_ending ending, call_reason reason);
    void finishAsGone();
    std::string endingDetail(call_ending ending, call_reason reason) const;
    void record(event_kind kind, std::string detail) const;

    call_engine &m_engine;
    boost::asio::any_io_executor m_executor;
    call_head &m_head;
    body_source &m_source;
    answer_sink &m_answer;
    std::shared_ptr<const routing> m_routing;
    balancer_ptr m_balancer;
    const route *m_route = nullptr;
    call_profile m_profile;
    std::optional<request_body> m_body;
    std::optional<call_watch> m_watch;
    call_record m_record;
    std::optional<call_attempt> m_first;
    std::optional<call_attempt> m_hedge;
    call_attempt *m_winner = nullptr; ///< The first attempt that had something to hand on.
    std::optional<boost::asio::steady_timer> m_hedgeEnd; ///< Never expires; cancelled when the hedge has ended.
    std::shared_ptr<probe_round> m_round; ///< Asks for the first attempt.
    std::shared_ptr<probe_round> m_hedgeRound;
    bool m_isHedging = false; ///< runHedge() has not ended.
    bool m_hedgeGivenUp = false;
    bool m_isHopeless = false; ///< No slot came, and none will in time.
    std::chrono::nanoseconds m_targetTime {0}; ///< Time that targets took so far.
    bool m_isOver = false; ///< The ending is settled.
};

} // namespace sequoiawharf

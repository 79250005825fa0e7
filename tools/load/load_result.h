#pragma once

#include "tools/load/load_options.h"

#include <chrono>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace sequoiawharf::stand_in
{

/// The ending of a call as its caller observed it.
enum class seen_ending {
    Answered, ///< A complete answer of a target with a status below 500.
    ServerError, ///< A complete answer of a target with status 500 or above.
    NotRun, ///< The load balancer reported that no target ran the call.
    Unknown, ///< The load balancer reported that it does not know whether a target ran the call.
    Refused, ///< A status of 400 or above without an ending.
    Lost, ///< The connection failed or the answer was truncated.
    NoConnection, ///< No entry instance accepted a connection.
};

/// The result of one call.
struct call_result {
    seen_ending ending = seen_ending::Lost;
    unsigned status = 0;
    std::string requestId;
    std::string endingText;
    std::string reason;
    std::string callId;
    std::string body;
    bool mismatched = false; ///< The answer belongs to another request.
};

/// Collects the results of all calls. Not thread safe.
class load_result
{
public:
    explicit load_result(const load_options &options);

    /// Counts a finished call. The latency is measured from its due time.
    void add(const call_kind &kind, const call_result &result, std::chrono::nanoseconds latency);

    /// Checks the endings that callers observed against a target's list of runs, whose lines are "HASH RUNS once|repeatable".
    void checkRuns(const std::string &runList);

    std::uint64_t finished() const
    {
        return m_finished;
    }

    /// Returns the number of violations: answers of other requests, doubled runs, and calls reported as not run that ran.
    std::uint64_t broken() const
    {
        return m_mismatched + m_doubled + m_ranThoughNotRun;
    }

    /// Returns all results as one JSON object.
    std::string json() const;

    /// Returns a Markdown table with a row for each kind of call.
    std::string markdown() const;

private:
    struct kind_result {
        std::map<seen_ending, std::uint64_t> endings;
        std::map<std::string, std::uint64_t> reasons;
        std::vector<float> latenciesMs; ///< Of answered calls.
    };

    const load_options &m_options;
    std::map<std::string, kind_result> m_kinds;
    std::map<seen_ending, std::uint64_t> m_endings; ///< Over all kinds.
    std::unordered_set<std::uint64_t> m_requestHashes; ///< Hashes of the ids of all calls.
    std::unordered_set<std::uint64_t> m_notRun; ///< Hashes of the ids of calls that ended with NotRun.
    std::map<std::uint64_t, std::uint32_t> m_onceRuns; ///< Runs of requests that must run once, over all targets.
    std::uint64_t m_finished = 0;
    std::uint64_t m_mismatched = 0;
    std::uint64_t m_doubled = 0;
    std::uint64_t m_ranThoughNotRun = 0;
    std::uint64_t m_targetRuns = 0;
};

} // namespace sequoiawharf::stand_in

#pragma once

#include "sequoiawharf/quota_account.h"
#include "sequoiawharf/quota_lender.h"

#include <vector>

namespace sequoiawharf
{

/// Decides when an instance sends requests to its holders, and processes their answers. Not thread safe.
class quota_exchange
{
public:
    /// A request to send now.
    struct action {
        instance_id to;
        quota_request request;
    };

    /// started: when the process started.
    quota_exchange(instance_id self, boot_time started);

    /// Returns the tokens of this instance.
    quota_account &account()
    {
        return m_account;
    }

    const quota_account &account() const
    {
        return m_account;
    }

    /// Returns the loans of this instance.
    quota_lender &lender()
    {
        return m_lender;
    }

    /// Sets the instances that may hold parts, the preferred ones first. From then on the holders are the first of them that answer; without candidates, they
    /// are those that the lender was given.
    void setCandidates(std::vector<instance_id> candidates);

    /// Returns the requests that are due. Call it at least every 50 ms, and when a call starts to wait for a token.
    std::vector<action> tick(boot_time now);

    /// Processes the answer of a holder to a request. The tokens in it are held from now on.
    void handleGrant(const instance_id &holder, std::uint64_t sequence, const quota_grant &grant, boot_time now);

private:
    struct schedule {
        instance_id holder;
        boot_time sent {}; ///< The epoch: nothing was sent.
        boot_time unanswered {}; ///< When the first request was sent since the last answer; the epoch: none.
        bool isUrgent = false; ///< A loan can begin with the next request.
    };

    /// A candidate that did not answer, and gets only probes until it does.
    struct suspect {
        instance_id holder;
        boot_time probed;
    };

    void chooseHolders(boot_time now);
    bool isSuspect(const instance_id &candidate) const;
    action makeProbe(const instance_id &holder);
    action makeAction(schedule &item, std::vector<token_count> wanted, boot_time now);

    instance_id m_self;
    quota_account m_account;
    quota_lender m_lender;
    std::vector<instance_id> m_candidates;
    std::vector<suspect> m_suspects;
    std::vector<schedule> m_schedules; ///< One for each holder.
    boot_time m_sent {}; ///< When the last request was sent, to any holder.
    std::uint64_t m_sequence = 0;
};

} // namespace sequoiawharf

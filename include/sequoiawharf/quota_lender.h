#pragma once

#include "sequoiawharf/quota_message.h"

#include <optional>
#include <vector>

namespace sequoiawharf
{

/// Decides which holders get the parts of this instance's share of the quotas, and when. Of each part at most one holder may make use at any time.
///
/// Why loans never overlap, without synchronised clocks: a loan repeats a stamp that the holder stated before, and the holder counts the loan from that
/// stamp. The lender had received the stamp when it decided to lend, so the holder's loan begins before the lender's decision and, with clocks of equal
/// rate, ends kLoanTime after it at the latest, however long the message is delayed, repeated or held by a paused process. The lender waits kLoanMargin
/// longer. Not thread safe.
class quota_lender
{
public:
    /// started: when the process started. An earlier process of this instance may have lent until then, so nothing is lent for the time of one loan.
    explicit quota_lender(boot_time started);

    /// Returns the time before which nothing is lent.
    boot_time lendsFrom() const
    {
        return m_earliest;
    }

    /// Sets the instances that should hold the parts, at most kQuotaParts; one instance holds several parts where there are fewer. A part stays with
    /// its holder while that one is among them.
    void setHolders(const std::vector<instance_id> &holders);

    /// Returns the instances that should hold the parts, without duplicates.
    const std::vector<instance_id> &holders() const
    {
        return m_holders;
    }

    /// Records the number of instances of the region that the platform's list, the membership or a holder shows. The largest counts.
    void recordInstances(std::uint32_t instances);

    /// Returns the largest number of instances that was recorded; 0: none, and nothing is lent.
    std::uint32_t instances() const
    {
        return m_instances;
    }

    /// Records the stamp in a holder's answer. Returns whether a part now can be lent that waited for it.
    bool recordStamp(const instance_id &holder, const holder_stamp &stamp, boot_time now);

    /// Fills in the loan of a request that is sent now: the parts, the stamp and the number of instances.
    void lend(const instance_id &holder, quota_request &request, boot_time now);

    /// Returns the number of parts that are lent, or may still be in use.
    unsigned partsLent(boot_time now) const;

private:
    struct known_stamp {
        instance_id holder;
        holder_stamp stamp;
        boot_time received;
    };
    struct part {
        instance_id wanted; ///< Who should hold it.
        instance_id holder; ///< To whom it was lent last.
        incarnation process = 0; ///< Of the holder.
        boot_time until; ///< When it may be lent to another holder.
    };

    bool canLend(const part &item, const known_stamp &stamp, boot_time now) const;

    boot_time m_earliest;
    std::uint32_t m_instances = 0;
    std::vector<instance_id> m_holders;
    std::vector<known_stamp> m_stamps; ///< At most one of each of m_holders.
    std::array<part, kQuotaParts> m_parts;
};

} // namespace sequoiawharf

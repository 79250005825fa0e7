#pragma once

#include "sequoiawharf/quota_message.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

/// Grants tokens from the shares that instances of the region lend to this one. Not thread safe.
///
/// The tokens of an organisation that all holders together grant in any time t are at most capacity + perSecond x t of its bucket: what the buckets hold
/// is at most capacity x share, a share that ends takes its part of the contents away, and one that begins brings nothing.
class quota_holder
{
public:
    /// process: of this instance. regions: number of regions among which the quotas are divided.
    quota_holder(incarnation process, const quota_settings &settings, unsigned regions);

    /// Sets the quotas in force. Buckets keep their contents, up to the new capacity.
    void setQuotas(const std::vector<organisation_quota> &quotas, boot_time now);

    /// Accepts the loan of a request, and grants tokens.
    quota_grant answer(const quota_request &request, boot_time now);

    /// Ends the loans whose time has passed. Called at least once in each kLoanTime, or tokens are lost.
    void expire(boot_time now);

    /// Returns the part of the region's quotas that is lent to this instance, in [0, 1].
    double share() const
    {
        return m_share;
    }

    /// Returns the number of parts that are lent to this instance.
    unsigned loans() const;

private:
    struct loan {
        std::uint32_t instances = 0;
        std::array<boot_time, kQuotaParts> until {}; ///< End of the loan of each part; the epoch: not lent.
    };
    struct bucket {
        bucket_size size;
        double level = 0;
        double settled = 0; ///< m_integral up to which the level is computed.
    };

    void acceptLoan(const quota_request &request, boot_time now);
    void applyShare(boot_time now);
    void settle(bucket &item) const;

    incarnation m_process;
    quota_settings m_settings;
    unsigned m_regions;
    std::map<instance_id, loan> m_loans;
    std::unordered_map<std::uint64_t, bucket> m_buckets;
    double m_share = 0;
    std::uint32_t m_instances = 0; ///< Largest number of instances that a current lender stated.
    double m_integral = 0; ///< Integral of the share over time, in seconds.
    boot_time m_updated {};
};

} // namespace sequoiawharf

#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/organisation_table.h"
#include "sequoiawharf/settings.h"
#include "sequoiawharf/time.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Number of parts into which an instance divides its share of the quotas. Each part is lent to one holder at a time.
constexpr unsigned kQuotaParts = 3;

/// Duration of a loan, counted by the holder from the stamp that the loan repeats.
constexpr std::chrono::milliseconds kLoanTime {1200};

/// Time after the end of a loan before the lender lends the part again. Covers clocks whose rates differ by up to 6 %.
constexpr std::chrono::milliseconds kLoanMargin {100};

/// Lifetime of a token, counted from when the request for it was sent.
constexpr std::chrono::milliseconds kTokenLifetime {1000};

/// Part of a token's lifetime in which a call may take it. The rest bounds how much later the call may arrive at its endpoint.
constexpr std::chrono::milliseconds kTokenUse {850};

/// Time in which a holder is expected to answer. Tokens of a later answer are not waited for, and the holder is asked for none until it answers.
constexpr std::chrono::milliseconds kExpectedAnswer {150};

/// A number of tokens of one organisation.
struct token_count {
    std::uint64_t organisation = 0; ///< quotaKey() of its name.
    std::uint32_t tokens = 0;

    friend bool operator==(const token_count &, const token_count &) = default;
};

/// A time that a holder states, to be repeated to it.
struct holder_stamp {
    incarnation process = 0; ///< Of the holder; 0: none.
    std::uint64_t at = 0; ///< Nanoseconds on the holder's boot clock.

    friend bool operator==(const holder_stamp &, const holder_stamp &) = default;
};

/// Requests tokens of a holder, and lends it parts of the sender's share.
struct quota_request {
    instance_id lender;
    std::uint64_t sequence = 0; ///< Number of the request, for the sender.
    std::uint32_t instances = 0; ///< Largest number of instances of the region that the sender has seen.
    std::array<bool, kQuotaParts> lends {}; ///< The parts lent.
    holder_stamp stamp; ///< From the holder's last answer. Bounds the age of the loan.
    std::vector<token_count> wanted;

    friend bool operator==(const quota_request &, const quota_request &) = default;
};

/// Answer of a holder.
struct quota_grant {
    holder_stamp stamp; ///< When the holder answered.
    std::uint32_t instances = 0; ///< Largest number that its lenders stated.
    std::vector<token_count> granted; ///< Organisations without a token granted are left out.

    friend bool operator==(const quota_grant &, const quota_grant &) = default;
};

/// The quota of one organisation.
struct organisation_quota {
    std::uint64_t organisation = 0; ///< quotaKey() of its name.
    call_quota quota;
};

/// A token bucket.
struct bucket_size {
    double capacity = 0; ///< In calls.
    double perSecond = 0; ///< Calls added each second.
};

/// Returns the number that stands for an organisation in messages, the same on all instances. Thread safe.
std::uint64_t quotaKey(const organisation_name &name);

/// Returns the quotas of all organisations that have one. Thread safe.
std::vector<organisation_quota> quotasOf(const organisation_table &organisations);

/// Returns the size of the bucket of one region, for its whole share. Preconditions: the settings enforce quotas; regions > 0. Thread safe.
bucket_size bucketSize(const call_quota &quota, const quota_settings &settings, unsigned regions);

} // namespace sequoiawharf

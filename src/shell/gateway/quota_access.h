#pragma once

#include "sequoiawharf/quota_account.h"

#include <memory>

namespace sequoiawharf
{

struct organisation;

/// Access of gateway threads to the tokens that this instance holds for organisations.
class quota_access
{
public:
    virtual ~quota_access() = default;

    /// Returns the tokens of an organisation, or null when its calls are not limited. Precondition: the thread holds an rcu_reader_thread. Thread safe and
    /// wait-free.
    virtual std::shared_ptr<quota_tokens> tokensOf(const organisation &caller) const = 0;

    /// Returns the time by which tokens are granted again if all instances started together with this one. Thread safe.
    virtual boot_time grantsFrom() const = 0;

    /// Requests tokens at once, since a call waits for one. Thread safe.
    virtual void requestTokens() = 0;
};

} // namespace sequoiawharf

#pragma once

#include "sequoiawharf/directory.h"
#include "sequoiawharf/far_capacity.h"
#include "sequoiawharf/member_directory.h"
#include "src/base/rcu_snapshot.h"
#include "src/region/relay_target.h"

namespace sequoiawharf
{

/// Directory snapshot for the gateway threads. lookup() is thread safe and wait-free. Precondition of lookup(): the calling thread holds an
/// rcu_reader_thread.
class published_directory : public directory
{
public:
    published_directory();

    /// Replaces the snapshot. Blocks for an RCU grace period.
    void publish(std::shared_ptr<const directory_view> view);

    directory_answer lookup(const data_centre_id &near, const std::vector<region_id> &homes, mono_time now, random_source &random) const override;

private:
    rcu_snapshot<directory_view> m_view;
};

/// Snapshot of the capacity of other regions for the gateway threads. All methods but publish() are thread safe and wait-free. Precondition of these:
/// the calling thread holds an rcu_reader_thread.
class published_capacity : public relay_chooser
{
public:
    published_capacity();

    /// Replaces the snapshot. Blocks for an RCU grace period.
    void publish(std::shared_ptr<const far_capacity> capacity);

    bool available(const pool_name &pool, mono_time now, centre_mask allowed) const override;
    std::optional<relay_target> choose(const pool_name &pool, mono_time now, random_source &random, centre_mask allowed) const override;

private:
    rcu_snapshot<far_capacity> m_capacity;
};

} // namespace sequoiawharf

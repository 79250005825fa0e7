#pragma once

#include "sequoiawharf/quota_exchange.h"
#include "sequoiawharf/quota_holder.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/quota_access.h"
#include "src/shell/peer/async_signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace sequoiawharf
{

class peer_node;

/// Figures of the quotas at one instance, for its metrics.
struct quota_figures {
    std::uint64_t requests = 0; ///< Sent to other instances since the start.
    std::uint64_t unanswered = 0; ///< Requests without an answer since the start.
    std::uint64_t granted = 0; ///< Tokens granted as a holder since the start.
    std::uint64_t held = 0; ///< Tokens held now.
    unsigned loans = 0; ///< Parts that instances lend to this one now.
    double share = 0; ///< Part of the region's quotas that they are.
};

/// Enforces the quotas of organisations together with the other instances of the region: requests tokens ahead of calls and as calls wait, lends this
/// instance's share to holders, and grants tokens as a holder. All methods run on the control thread, except those of quota_access.
class quota_control final : public quota_access
{
public:
    /// Precondition: settings.quotas.isSet(). The references outlive the object, and the object outlives the context's last run.
    quota_control(boost::asio::io_context &context, const instance_settings &settings, incarnation process, peer_node &node);

    /// Sets the function that is called after tokens were granted for which calls may wait. Precondition: start() has not been called.
    void setListener(std::function<void()> onTokens)
    {
        m_onTokens = std::move(onTokens);
    }

    /// Starts the exchange with the holders. Precondition: called once.
    void start();

    /// Puts the quotas of the organisations in force.
    void setOrganisations(const organisation_table &organisations);

    /// Sets the instances of the region that may be holders, with their addresses for other instances. This instance may be one of them.
    void setCandidates(std::map<instance_id, host_port> candidates);

    /// Records the number of instances of the region that the platform's list shows, this one included.
    void recordInstances(std::uint32_t instances);

    /// Returns the answer of this instance as a holder.
    quota_grant answer(const quota_request &request);

    /// Returns the figures for the metrics.
    quota_figures figures() const;

    std::shared_ptr<quota_tokens> tokensOf(const organisation &caller) const override;
    boot_time grantsFrom() const override
    {
        return m_grantsFrom;
    }
    void requestTokens() override;

private:
    using token_table = std::unordered_map<organisation_name, std::shared_ptr<quota_tokens>>;

    boost::asio::awaitable<void> run();
    void tick();
    boost::asio::awaitable<void> send(quota_exchange::action action, host_port to);
    void receive(const instance_id &holder, std::uint64_t sequence, const quota_grant &grant);
    void logRole();
    void logRefusals();

    boost::asio::io_context &m_context;
    const instance_settings &m_settings;
    peer_node &m_node;
    quota_exchange m_exchange;
    const boot_time m_grantsFrom;
    quota_holder m_holder;
    organisation_table m_organisations;
    std::shared_ptr<const token_table> m_current; ///< As published in m_tokens.
    rcu_snapshot<token_table> m_tokens;
    std::map<instance_id, host_port> m_candidates;
    std::function<void()> m_onTokens = [] { };
    async_signal m_activated;
    std::atomic<bool> m_isTickPosted {false};
    quota_figures m_figures;
    boot_time m_refusalsLogged {}; ///< When refusals were logged last.
    bool m_isActive = false; ///< Some organisation has a quota.
    bool m_isHolder = false; ///< As logged last.
};

} // namespace sequoiawharf

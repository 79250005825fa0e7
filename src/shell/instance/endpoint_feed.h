#pragma once

#include "sequoiawharf/random_source.h"
#include "sequoiawharf/reading_plan.h"
#include "src/shell/instance/discovery_client.h"
#include "src/shell/instance/endpoint_source.h"
#include "src/shell/peer/async_signal.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace sequoiawharf
{

/// Follows the endpoints registered in discovery. One instance of a data centre, the reader, reads the service, and the others ask it for changes.
/// Every answer states its age; an instance that gets none, or one that is too old, reads the service itself, so the instances need not agree
/// on the reader. An instance that starts in a large data centre asks the others first. All methods run on the control thread.
class endpoint_feed
{
public:
    /// Precondition: context and observer outlive the feed.
    endpoint_feed(
        boost::asio::io_context &context, std::unique_ptr<discovery_client> client, reading_times times, endpoint_observer &observer, std::uint64_t seed);

    /// Starts to follow the endpoints. readsAtOnce: the first read of the service does not wait for setOthers(). Precondition: called once.
    void start(bool readsAtOnce = false);

    /// Sets the operators' addresses of the other instances of the data centre, and whether this instance is the reader; otherwise the first of the
    /// others is. The first read waits up to 1.5 seconds for the first call of this method.
    void setOthers(std::vector<host_port> others, bool isReader);

    /// Sets the pools that the configuration names. Entries of other pools take no address from theirs.
    void setPools(std::set<pool_name> pools)
    {
        m_registry.setPools(std::move(pools));
    }

    /// Asks the next of the other instances for its configuration's version and proof, unless such a query is under way. The endpoints in its answer are
    /// ignored.
    void askForProof();

    /// Returns whether the endpoints are known.
    bool isKnown() const
    {
        return m_isKnown;
    }

    /// Waits until the endpoints are known, but not longer than until the given time. Precondition: the object outlives the wait.
    boost::asio::awaitable<void> waitUntilKnown(mono_time until);

    /// Returns the page that answers another instance: the changes from a position on, or all entries when from is the first one, and the
    /// configuration's version.
    std::string page(log_position from, const peer_configuration &configuration, mono_time now);

    /// Returns the number of reads of the service by this instance.
    std::uint64_t reads() const
    {
        return m_reads;
    }

private:
    boost::asio::awaitable<void> run(bool readsAtOnce);
    boost::asio::awaitable<bool> askAtStart();
    boost::asio::awaitable<bool> askReader();
    boost::asio::awaitable<bool> askAndReport(host_port other);
    boost::asio::awaitable<std::optional<peer_configuration>> askInstance(host_port other);
    boost::asio::awaitable<bool> askAnother();
    boost::asio::awaitable<void> askNextForProof();
    boost::asio::awaitable<bool> readService();
    void reportRecovery();
    std::chrono::milliseconds randomBelow(std::chrono::milliseconds time);
    void applyPage(const discovery_page &page);
    void publish();

    boost::asio::io_context &m_context;
    std::unique_ptr<discovery_client> m_client;
    reading_times m_times;
    endpoint_observer &m_observer;
    random_source m_random;
    endpoint_registry m_registry;
    std::vector<host_port> m_others;
    bool m_isReader = true;
    bool m_areOthersSet = false;
    async_signal m_othersSet;
    std::size_t m_askedIndex = 0; ///< Index of the instance asked last in turn, while the service does not answer.
    std::size_t m_proofAskedIndex = 0; ///< Index of the instance that askForProof() asked last.
    bool m_isAskingForProof = false;
    log_position m_next; ///< Where the next read starts; all records before it are known.
    bool m_mustReadAll = true; ///< The next read requests all entries.
    mono_time m_asOf {}; ///< The known endpoints are at least as new as this time.
    mono_time m_ownReadDue {}; ///< Earliest time of this instance's next read of the service.
    host_port m_lastAsked; ///< The instance that was asked last; another one triggers a read of all entries.
    mono_time m_fullReadDue = mono_time::max(); ///< Next request for all entries: two readers may have reported changes in different order.
    std::uint64_t m_reads = 0;
    std::string m_allRecords; ///< All entries as formatted for other instances, which may all request them at the same time.
    std::optional<log_position> m_allRecordsNext; ///< Value of m_next with which m_allRecords was made.
    async_signal m_known; ///< Notified when m_isKnown becomes true.
    bool m_isKnown = false;
    bool m_hasFailed = false; ///< The last read of the service failed.
};

} // namespace sequoiawharf

#pragma once

#include "sequoiawharf/random_source.h"
#include "sequoiawharf/reading_plan.h"
#include "src/shell/instance/discovery_client.h"
#include "src/shell/instance/endpoint_source.h"
#include "src/shell/peer/async_signal.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sequoiawharf
{

/// Follows the endpoints that discovery tells of. One instance of a data centre reads the service, and the others ask it for changes: what each
/// one holds has an age, and whoever finds it too old reads the service itself, so that nothing rests on their agreement about who reads. An
/// instance that starts in a large data centre asks the others first. All methods run on the control thread.
class endpoint_feed
{
public:
    /// context and observer outlive the feed.
    endpoint_feed(
        boost::asio::io_context &context, std::unique_ptr<discovery_client> client, reading_times times, endpoint_observer &observer, std::uint64_t seed);

    /// Begins to follow. Called once.
    void start();

    /// Sets the operators' addresses of the other instances of the data centre, and whether this instance reads for them; else the first of the
    /// others does. The first reading waits a moment for the first call.
    void setOthers(std::vector<host_port> others, bool isReader);

    /// Tells whether the endpoints were learned at least once.
    bool isKnown() const
    {
        return m_isKnown;
    }

    /// Returns the page that answers another instance: the changes from an offset on, or with 0 all entries, and the configuration's version.
    std::string page(log_offset from, const told_configuration &configuration, mono_time now);

    /// Returns how many times this instance has read the service.
    std::uint64_t reads() const
    {
        return m_reads;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> askAtStart();
    boost::asio::awaitable<bool> askReader();
    boost::asio::awaitable<bool> askForAll(host_port other);
    boost::asio::awaitable<std::optional<told_configuration>> askInstance(host_port other);
    boost::asio::awaitable<bool> askAnother();
    boost::asio::awaitable<bool> readService();
    void noteAnswer();
    std::chrono::milliseconds randomPart(std::chrono::milliseconds time);
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
    std::size_t m_asked = 0; ///< Of the others, asked in turn while the service does not answer.
    std::optional<log_offset> m_next; ///< From where to read on; nothing: all entries must be read.
    mono_time m_asOf {}; ///< What is known is at least as new as this.
    mono_time m_ownReadDue {}; ///< This instance does not read the service before.
    host_port m_teller; ///< The instance that was asked last.
    mono_time m_wholeDue = mono_time::max(); ///< When all entries are asked for again, for a change that two readers told in different order.
    std::uint64_t m_reads = 0;
    bool m_isKnown = false;
    bool m_hasFailed = false; ///< The last read of the service failed.
};

} // namespace sequoiawharf

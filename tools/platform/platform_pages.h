#pragma once

#include "src/shell/net/page_server.h"
#include "tools/platform/log_store.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>

namespace sequoiawharf
{

/// The faults that the stand-in injects, switched at run time.
struct platform_faults {
    bool down = false; ///< Every request is refused with status 503.
    bool drop = false; ///< Every connection closes without an answer, and nothing takes effect.
    std::chrono::milliseconds slow {0}; ///< Delay before each answer.
    unsigned loseAnswers = 0; ///< Number of further appends that take effect without an answer.
};

/// The HTTP pages of the platform's stand-in. Runs on one io_context, which must outlive the object.
class platform_pages
{
public:
    /// Adds the pages to the server. The object must outlive the server.
    platform_pages(boost::asio::io_context &context, page_server &server);

private:
    using page_awaitable = boost::asio::awaitable<page_answer>;

    void addFaultyPage(page_server &server, const std::string &path, page_server::handler page);
    page_awaitable append(const page_request &request);
    page_awaitable read(const page_request &request);
    page_awaitable control(const page_request &request);
    page_awaitable setInstances(const page_request &request);
    boost::asio::awaitable<void> waitForAppend(std::chrono::milliseconds longest);
    std::string stats() const;

    boost::asio::io_context &m_context;
    log_store m_log;
    instance_registry m_instances;
    platform_faults m_faults;
    std::list<boost::asio::steady_timer> m_waiting; ///< Timers of readers that wait for the next append.
    std::uint64_t m_reads = 0;
    std::uint64_t m_readBytes = 0;
};

} // namespace sequoiawharf

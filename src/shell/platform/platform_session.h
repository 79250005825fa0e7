#pragma once

#include "src/config/publication_log.h"
#include "src/shell/platform/log_client.h"

#include <tl/expected.hpp>

#include <memory>
#include <vector>

namespace sequoiawharf
{

/// Blocking client of the platform's service, for programs that wait for each answer. Not thread safe.
class platform_session final : public publication_log
{
public:
    /// Precondition: addresses is not empty.
    explicit platform_session(const std::vector<host_port> &addresses);
    ~platform_session() override;

    tl::expected<log_offset, log_access_error> append(const std::string &data) override;
    tl::expected<log_page, log_access_error> read(log_offset from, unsigned max, std::chrono::milliseconds wait) override;
    mono_time now() override;
    void pause(std::chrono::milliseconds time) override;

    /// Returns the platform's list of instances.
    platform_result<std::vector<listed_instance>> instances();

private:
    class implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace sequoiawharf

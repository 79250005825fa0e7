#include "src/shell/instance/control_metrics.h"

#include "src/shell/instance/control_plane.h"
#include "src/shell/metrics/metrics_text.h"
#include "src/shell/net/clock.h"

#include <fmt/format.h>

#include <array>

namespace sequoiawharf
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(control_kind::Count)> kControlKinds {
    "data_centre",
    "region",
    "link",
    "configuration",
    "state",
};
constexpr std::array<std::string_view, static_cast<std::size_t>(measuring_kind::Count)> kMeasuringKinds {"load_page", "shared_report"};
constexpr std::array<std::string_view, kRouteClassCount> kClasses {"urgent", "normal", "bulk"};

void addConfiguration(metrics_text &text, const configuration_source &feed)
{
    text.single("sequoiawharf_configuration_version", "gauge", "Version of the configuration in force.", feed.current()->version);
    text.single("sequoiawharf_log_reads_total", "counter", "Reads of the platform's log.", feed.counters().reads);
    text.single("sequoiawharf_log_read_failures_total", "counter", "Reads of the platform's log that gave no answer.", feed.counters().failedReads);
    text.single("sequoiawharf_state_records_total", "counter", "State records written to the log.", feed.counters().stateRecords);
    text.single("sequoiawharf_state_record_bytes_total", "counter", "Bytes of state records written to the log.", feed.counters().stateRecordBytes);
    const auto &counters = feed.counters();
    text.begin("sequoiawharf_configuration_bytes_total", "counter", "Bytes of configurations received, by where they came from.");
    text.line("sequoiawharf_configuration_bytes_total{{from=\"service\"}} {}\n", counters.readBytes);
    text.line("sequoiawharf_configuration_bytes_total{{from=\"peer\"}} {}\n", counters.peerBytes);
    text.single("sequoiawharf_configuration_announcements_total",
                "counter",
                "Newer versions that another instance announced without passing them on.",
                counters.announcements);
}

void addFreshness(metrics_text &text, const configuration_freshness &freshness)
{
    const auto age = freshness.age(bootNow());
    const auto value = age ? fmt::format("{:.3f}", std::chrono::duration<double>(*age).count()) : std::string("+Inf");
    text.single(
        "sequoiawharf_configuration_proof_age_seconds", "gauge", "Age of the proof that the configuration in force is the newest one; +Inf: none.", value);
}

void addControlBytes(metrics_text &text, const control_budget &budget)
{
    const auto add = [&](std::string_view name, std::string_view help, auto read) {
        text.begin(name, "counter", help);
        for (std::size_t i = 0; i < kControlKinds.size(); ++i) {
            text.line("{}{{kind=\"{}\"}} {}\n", name, kControlKinds[i], read(static_cast<control_kind>(i)));
        }
    };
    add("sequoiawharf_control_bytes_total", "Bytes of control messages, by kind.", [&](control_kind kind) {
        return budget.bytes(kind);
    });
    add("sequoiawharf_control_messages_total", "Control messages, by kind.", [&](control_kind kind) {
        return budget.messages(kind);
    });
    add("sequoiawharf_control_refusals_total", "Control messages that the byte budget held back, by kind.", [&](control_kind kind) {
        return budget.refusals(kind);
    });
}

void addMeasuring(metrics_text &text, const measuring_budget &budget)
{
    const auto add = [&](std::string_view name, std::string_view help, auto read) {
        text.begin(name, "counter", help);
        for (std::size_t i = 0; i < kMeasuringKinds.size(); ++i) {
            text.line("{}{{kind=\"{}\"}} {}\n", name, kMeasuringKinds[i], read(static_cast<measuring_kind>(i)));
        }
    };
    add("sequoiawharf_measuring_bytes_total", "Bytes spent on measuring load, by kind.", [&](measuring_kind kind) {
        return budget.bytes(kind);
    });
    add("sequoiawharf_measuring_refusals_total", "Measurements that the budget held back, by kind.", [&](measuring_kind kind) {
        return budget.refusals(kind);
    });
}

void addLink(metrics_text &text, const link_budget &link, const peer_traffic &control, const peer_traffic &relayed)
{
    text.single("sequoiawharf_link_share_bytes_per_second", "gauge", "Part of the link between regions that calls of this instance may use.", link.share());
    text.begin("sequoiawharf_link_bytes_total", "counter", "Bytes of calls booked on the link between regions, by route class.");
    for (std::size_t i = 0; i < kClasses.size(); ++i) {
        text.line("sequoiawharf_link_bytes_total{{class=\"{}\"}} {}\n", kClasses[i], link.bytes(static_cast<route_class>(i)));
    }
    text.begin("sequoiawharf_peer_bytes_total", "counter", "Bytes of connections between instances, framing included.");
    const auto add = [&](std::string_view side, std::string_view direction, const std::atomic<std::uint64_t> &count) {
        text.line("sequoiawharf_peer_bytes_total{{side=\"{}\",direction=\"{}\"}} {}\n", side, direction, count.load(std::memory_order_relaxed));
    };
    add("client", "sent", control.bytesSent);
    add("client", "received", control.bytesReceived);
    add("threads", "sent", relayed.bytesSent);
    add("threads", "received", relayed.bytesReceived);
    text.begin("sequoiawharf_peer_silent_connections_total", "counter", "Connections between instances closed because nothing arrived on them.");
    text.line("sequoiawharf_peer_silent_connections_total{{side=\"client\"}} {}\n", control.silentSessions.load(std::memory_order_relaxed));
    text.line("sequoiawharf_peer_silent_connections_total{{side=\"threads\"}} {}\n", relayed.silentSessions.load(std::memory_order_relaxed));
}

void addQuotas(metrics_text &text, const quota_figures &figures)
{
    text.single(
        "sequoiawharf_quota_share", "gauge", "Part of the region's quotas from which this instance grants tokens.", fmt::format("{:.4f}", figures.share));
    text.single("sequoiawharf_quota_loans", "gauge", "Parts of instances' shares that are lent to this instance.", figures.loans);
    text.single("sequoiawharf_quota_tokens_held", "gauge", "Tokens that this instance holds for calls.", figures.held);
    text.single("sequoiawharf_quota_tokens_granted_total", "counter", "Tokens that this instance granted.", figures.granted);
    text.single("sequoiawharf_quota_requests_total", "counter", "Requests for tokens sent to other instances.", figures.requests);
    text.single("sequoiawharf_quota_unanswered_total", "counter", "Requests for tokens without an answer.", figures.unanswered);
}

} // namespace

std::string formatControlMetrics(control_plane &plane, const peer_traffic &relayed, mono_time now)
{
    auto &node = plane.node();
    metrics_text text;
    addConfiguration(text, plane.feed());
    if (plane.freshness().isOn()) {
        addFreshness(text, plane.freshness());
    }
    text.single("sequoiawharf_ready", "gauge", "1 when callers are served.", plane.readiness().ready ? 1 : 0);
    text.single("sequoiawharf_members_live", "gauge", "Live instances of the data centre, this one included.", node.members().liveMembers(now).size());
    text.single("sequoiawharf_region_members_live", "gauge", "Live instances of the region, this one included.", node.members().liveInRegion(now));
    text.single("sequoiawharf_evacuated_data_centres", "gauge", "Data centres to whose endpoints no calls are sent.", plane.evacuated().size());
    if (plane.quotas() != nullptr) {
        addQuotas(text, plane.quotas()->figures());
    }
    addControlBytes(text, node.members().budget());
    addMeasuring(text, plane.measuring());
    addLink(text, node.linkBudget(), node.traffic(), relayed);
    return text.str();
}

} // namespace sequoiawharf

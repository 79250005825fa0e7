#include "src/shell/instance/status_page.h"

#include <boost/json.hpp>

namespace sequoiawharf
{

std::string formatStatus(const instance_settings &settings, const instance_summary &summary)
{
    const boost::json::object page {
        {"instance", settings.id.str()},
        {"incarnation", summary.process},
        {"region", settings.region.str()},
        {"data_centre", settings.dataCentre.str()},
        {"version", summary.version},
        {"as_of", summary.asOf},
        {"ready", summary.ready},
        {"stopping", summary.stopping},
        {"why", summary.reason},
        {"calls_in_flight", summary.callsInFlight},
    };
    return boost::json::serialize(page) + "\n";
}

} // namespace sequoiawharf

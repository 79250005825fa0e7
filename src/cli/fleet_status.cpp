#include "src/cli/fleet_status.h"

#include "src/shell/net/fetch_all.h"

#include <boost/json.hpp>

#include <algorithm>

namespace sequoiawharf::cli
{

namespace
{

namespace json = boost::json;

std::string textAt(const json::object &object, const char *key)
{
    const auto *const value = object.if_contains(key);
    const auto *const text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

config_version versionAt(const json::object &object)
{
    const auto *const value = object.if_contains("version");
    json::error_code error;
    const auto version = value == nullptr ? 0 : value->to_number<config_version>(error);
    return error ? 0 : version;
}

void parseStatus(const http_answer &answer, instance_status &status)
{
    json::error_code error;
    const auto value = json::parse(answer.body, error);
    const auto *const object = error ? nullptr : value.if_object();
    if (answer.status != 200 || object == nullptr) {
        status.reason = "the status page cannot be read";
        return;
    }
    status.reached = true;
    status.version = versionAt(*object);
    const auto *const ready = object->if_contains("ready");
    status.ready = ready != nullptr && ready->is_bool() && ready->get_bool();
    status.reason = textAt(*object, "why");
    status.id = instance_id(textAt(*object, "instance"));
    status.dataCentre = data_centre_id(textAt(*object, "data_centre"));
    status.region = region_id(textAt(*object, "region"));
}

http_request statusRequest(const instance_status &instance)
{
    http_request request;
    request.server = instance.admin;
    request.path = "/status";
    return request;
}

} // namespace

std::optional<std::vector<instance_status>> findInstances(platform_session &platform, const std::vector<host_port> &given)
{
    std::vector<instance_status> found;
    std::ranges::transform(given, std::back_inserter(found), [](const host_port &admin) {
        instance_status status;
        status.admin = admin;
        return status;
    });
    if (!given.empty()) {
        return found;
    }
    const auto listed = platform.instances();
    if (!listed) {
        return std::nullopt;
    }
    std::ranges::transform(*listed, std::back_inserter(found), [](const listed_instance &entry) {
        instance_status status;
        status.admin = entry.admin;
        status.id = entry.id;
        status.listedLeaving = entry.leaving;
        status.dataCentre = entry.dataCentre;
        status.region = entry.region;
        return status;
    });
    return found;
}

void fetchStatus(std::vector<instance_status> &instances, std::chrono::milliseconds timeout)
{
    std::vector<http_request> requests;
    std::ranges::transform(instances, std::back_inserter(requests), statusRequest);
    const auto answers = fetchAll(requests, timeout);
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].reached = false;
        instances[i].reason = "the instance does not answer";
        if (answers[i]) {
            parseStatus(*answers[i], instances[i]);
        }
    }
}

} // namespace sequoiawharf::cli

#include "gateway_rig.h"

#include "src/shell/net/log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <cctype>
#include <thread>

namespace sequoiawharf::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

using std::chrono::milliseconds;

constexpr timeval kWaitTimeout {10, 0};
constexpr std::uint64_t kBigBodyBytes = 1U << 30U;

route makeRoute(const std::string &name, const std::string &prefix, milliseconds deadline, std::uint64_t maxBody)
{
    route rule;
    rule.name = route_name(name);
    rule.pathPrefix = prefix;
    rule.pool = pool_name("p");
    rule.deadline = deadline;
    rule.maxBodyBytes = maxBody;
    return rule;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

pool makePool(const std::vector<const fake_target *> &targets)
{
    pool result;
    result.name = pool_name("p");
    result.notRunStatuses = {503};
    result.maxConnections = 1;
    for (const auto *target : targets) {
        result.endpoints.push_back({{"127.10.1.1", target->port()}, data_centre_id("a"), false});
    }
    return result;
}

} // namespace

directory_answer
fake_directory::lookup(const data_centre_id &near, const std::vector<region_id> & /*homes*/, mono_time /*now*/, random_source & /*random*/) const
{
    const auto centre = near.empty() ? data_centre_id("a") : near;
    return {{{instance_id("n1"), {"127.10.0.1", 8080}, centre, region_id("north")}}, milliseconds(5000)};
}

void null_sink::record(event /*entry*/)
{
}

test_caller::test_caller(const host_port &gateway)
    : m_socket(m_context)
{
    m_socket.connect({asio::ip::make_address(gateway.host), gateway.port});
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kWaitTimeout, sizeof(kWaitTimeout));
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &kWaitTimeout, sizeof(kWaitTimeout));
}

bool test_caller::send(std::string_view text)
{
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(text), error);
    return !error;
}

received_answer test_caller::read(bool bodiless)
{
    boost::system::error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(bodiless);
    boost::beast::flat_buffer buffer;
    buffer.commit(asio::buffer_copy(buffer.prepare(m_unread.size()), asio::buffer(m_unread)));
    http::read(m_socket, buffer, parser, error);
    received_answer received;
    received.isWhole = !error;
    if (!parser.is_header_done()) {
        return received;
    }
    m_unread.assign(static_cast<const char *>(buffer.data().data()), buffer.size());
    received.status = parser.get().result_int();
    for (const auto &field : parser.get()) {
        received.fields.emplace(lower(std::string(field.name_string())), std::string(field.value()));
    }
    received.body = std::move(parser.get().body());
    return received;
}

received_answer test_caller::call(std::string_view method, std::string_view path, std::string_view body, std::string_view extraFields)
{
    const auto length = body.empty() && method != "POST" ? std::string {} : fmt::format("Content-Length: {}\r\n", body.size());
    send(fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n{}{}\r\n{}", method, path, length, extraFields, body));
    return read(method == "HEAD");
}

bool test_caller::isClosed()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, 0) == 0 || errno == ECONNRESET;
}

void test_caller::close()
{
    m_socket.close();
}

void test_caller::stopSending()
{
    ::shutdown(m_socket.native_handle(), SHUT_RDWR);
}

received_answer uploadAndRead(const host_port &gateway, std::string_view path, bool isChunked)
{
    constexpr std::size_t kParts = 64;
    const std::string part(1U << 20U, 'x');
    test_caller caller(gateway);
    const auto length = isChunked ? std::string("Transfer-Encoding: chunked") : fmt::format("Content-Length: {}", kParts * part.size());
    caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: test\r\n{}\r\n\r\n", path, length));
    std::thread upload([&] {
        const auto text = isChunked ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part;
        for (std::size_t i = 0; i < kParts && caller.send(text); ++i) { }
        caller.send(isChunked ? "0\r\n\r\n" : "");
    });
    auto received = caller.read();
    caller.stopSending();
    upload.join();
    return received;
}

void expectAnswered(test_caller &caller, int calls)
{
    for (int i = 0; i < calls; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("GET", "/").ending());
    }
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeout.tv_sec);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
}

gateway_rig::gateway_rig(std::vector<const fake_target *> targets, relay_client *relay, unsigned threads)
    : targetPool(makePool(targets))
    , m_relays(relay == nullptr ? 0 : threads, relay)
    , m_metrics(threads)
    , m_current(std::make_shared<const routing>())
    , m_routing(m_current)
{
    settings.id = instance_id("n1");
    settings.region = region_id("north");
    settings.dataCentre = data_centre_id("a");
    settings.gateway = {"127.10.0.1", 0};
    settings.threads = threads;
    settings.seed = 1;
    setLogLevel(log_level::Error);
    start();
}

gateway_rig::~gateway_rig() = default;

void gateway_rig::start()
{
    m_gateway.reset();
    limits = std::make_shared<placement_limits>(settings.regions);
    publishRouting(routing {});
    m_gateway = std::make_unique<gateway>(settings, m_routing, m_directory, m_relays, m_events, m_metrics, ownDialect(), freshness, quotas);
    const auto started = m_gateway->start();
    CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error(), started.has_value());
    m_gateway->setReady(true, "");
}

void gateway_rig::updatePool()
{
    publishRouting(*m_current);
}

void gateway_rig::publishRouting(const routing &previous)
{
    auto config = std::make_shared<configuration>();
    std::vector<route> routes {
        makeRoute("all", "/", milliseconds(10'000), 1U << 20U),
        makeRoute("short", "/short", milliseconds(150), 1U << 20U),
        makeRoute("big", "/big", milliseconds(60'000), kBigBodyBytes),
    };
    std::ranges::for_each(routes, [this](route &rule) {
        rule.isPublic = hasPublicRoutes;
        rule.homes = homes;
    });
    config->routes = route_table(std::move(routes));
    config->organisations = organisations;
    config->version = version;
    config->pools = pool_table({targetPool});
    const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("two-choices");
    CPPUNIT_ASSERT(policy != nullptr);
    locality place {settings.id, settings.dataCentre, {}, 1};
    place.limits = limits;
    m_current = std::make_shared<const routing>(config, place, policy, previous, std::chrono::steady_clock::now());
    m_routing.store(m_current);
}

void gateway_rig::startProbing()
{
    settings.probing.count = 1;
    targetPool.probePath = "/load";
    start();
}

} // namespace sequoiawharf::testing

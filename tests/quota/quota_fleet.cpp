#include "tests/quota/quota_fleet.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>

namespace sequoiawharf::testing
{

namespace
{

constexpr std::chrono::milliseconds kStep {1};

} // namespace

quota_fleet::quota_fleet(unsigned centres, const quota_settings &settings, std::uint64_t seed)
    : m_centres(centres)
    , m_settings(settings)
    , m_random(seed)
{
}

std::size_t quota_fleet::add(unsigned centre)
{
    instance next;
    next.id = instance_id("i" + std::to_string(m_instances.size()));
    next.centre = centre;
    m_instances.push_back(std::move(next));
    return m_instances.size() - 1;
}

void quota_fleet::start(std::size_t at, const std::vector<organisation_quota> &quotas)
{
    auto &item = m_instances[at];
    item.bootOffset = std::chrono::milliseconds(m_random.below(100'000'000)); // a restart may be one of the machine
    item.process = ++m_lastProcess;
    item.exchange = std::make_unique<quota_exchange>(item.id, clockOf(item));
    item.holder = std::make_unique<quota_holder>(item.process, m_settings, m_centres);
    item.pausedUntil = {};
    item.held.clear();
    item.waiting.clear();
    setQuotas(at, quotas);
}

void quota_fleet::stop(std::size_t at)
{
    m_instances[at].exchange.reset();
    m_instances[at].holder.reset();
    m_instances[at].waiting.clear();
}

void quota_fleet::pause(std::size_t at, std::chrono::nanoseconds time)
{
    m_instances[at].pausedUntil = m_now + time;
}

void quota_fleet::setQuotas(std::size_t at, const std::vector<organisation_quota> &quotas)
{
    auto &item = m_instances[at];
    if (item.exchange) {
        item.exchange->account().setQuotas(quotas);
        item.holder->setQuotas(quotas, clockOf(item));
    }
}

void quota_fleet::setInstances(std::size_t at, std::uint32_t count)
{
    if (m_instances[at].exchange) {
        m_instances[at].exchange->lender().recordInstances(count);
    }
}

void quota_fleet::setView(std::size_t at, const std::vector<std::size_t> &live)
{
    auto &item = m_instances[at];
    if (!item.exchange) {
        return;
    }
    std::vector<std::pair<std::uint64_t, instance_id>> ranked;
    std::ranges::for_each(live, [&](std::size_t other) {
        if (m_instances[other].centre == item.centre) {
            ranked.emplace_back(rendezvousWeight(m_instances[other].id.str(), "quota"), m_instances[other].id);
        }
    });
    std::ranges::sort(ranked, std::greater {});
    std::vector<instance_id> holders;
    for (std::size_t i = 0; i < std::min<std::size_t>(ranked.size(), kQuotaParts); ++i) {
        holders.push_back(ranked[i].second);
    }
    item.exchange->lender().setHolders(holders);
}

void quota_fleet::setCut(std::size_t one, std::size_t other, bool isCut)
{
    const auto pair = std::minmax(one, other);
    if (isCut) {
        m_cuts.insert(pair);
    } else {
        m_cuts.erase(pair);
    }
}

void quota_fleet::call(std::size_t at, std::uint64_t organisation)
{
    auto &item = m_instances[at];
    if (!isRunning(item)) {
        return;
    }
    const auto tokens = item.exchange->account().find(organisation);
    tokens->countCall();
    if (tokens->take(clockOf(item))) {
        admitted[organisation].push_back(m_now);
        return;
    }
    ++waited;
    tokens->addWaiting(1);
    item.waiting.push_back({organisation, m_now + maxWait});
}

void quota_fleet::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    const auto copies = from != to && m_random.unit() < net.repeats ? 2U : 1U;
    for (unsigned i = 0; i < copies; ++i) {
        if (from == to) {
            m_messages.emplace(m_now, std::pair(to, deliver));
        } else if (m_random.unit() >= net.loss) {
            const auto range = static_cast<std::uint32_t>((net.maxDelay - net.minDelay).count()) + 1;
            m_messages.emplace(m_now + net.minDelay + std::chrono::milliseconds(m_random.below(range)), std::pair(to, deliver));
        }
    }
}

void quota_fleet::request(std::size_t from, const quota_exchange::action &action)
{
    const auto match = std::ranges::find(m_instances, action.to, &instance::id);
    const auto to = static_cast<std::size_t>(match - m_instances.begin());
    ++requests;
    const auto process = m_instances[from].process;
    send(from, to, [this, from, to, action, process] {
        const auto reply = m_instances[to].holder->answer(action.request, clockOf(m_instances[to]));
        send(to, from, [this, from, to, action, process, reply] {
            // The answer of an earlier process does not reach a later one: the connection ended with the process.
            if (m_instances[from].process == process) {
                m_instances[from].exchange->handleGrant(m_instances[to].id, action.request.sequence, reply, clockOf(m_instances[from]));
            }
        });
    });
}

void quota_fleet::deliver(std::size_t to, std::function<void()> message)
{
    auto &item = m_instances[to];
    if (!item.exchange) {
        return;
    }
    if (!isRunning(item)) {
        item.held.push_back(std::move(message));
        return;
    }
    message();
}

void quota_fleet::step(std::size_t at)
{
    auto &item = m_instances[at];
    if (!isRunning(item)) {
        return;
    }
    const auto held = std::exchange(item.held, {});
    std::ranges::for_each(held, [](const auto &message) {
        message();
    });
    item.holder->expire(clockOf(item));
    std::erase_if(item.waiting, [&](const waiting_call &call) {
        const auto tokens = item.exchange->account().find(call.organisation);
        const bool isAdmitted = tokens->take(clockOf(item)).has_value();
        if (isAdmitted) {
            admitted[call.organisation].push_back(m_now);
        } else if (m_now >= call.until) {
            ++refused[call.organisation];
        } else {
            return false;
        }
        tokens->addWaiting(-1);
        return true;
    });
    if (!item.waiting.empty() || m_now % std::chrono::milliseconds(25) == std::chrono::nanoseconds {0}) {
        const auto actions = item.exchange->tick(clockOf(item));
        std::ranges::for_each(actions, [&](const quota_exchange::action &action) {
            request(at, action);
        });
    }
}

double quota_fleet::largestShare()
{
    std::vector<double> sums(m_centres, 0);
    std::ranges::for_each(m_instances, [&](instance &item) {
        if (isRunning(item)) {
            item.holder->expire(clockOf(item));
            sums[item.centre] += item.holder->share();
        }
    });
    return std::ranges::max(sums);
}

void quota_fleet::run(std::chrono::milliseconds time, const std::function<void()> &everyMs)
{
    const auto end = m_now + time;
    while (m_now < end) {
        m_now += kStep;
        if (everyMs) {
            everyMs();
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            step(i);
        }
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            auto [to, message] = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            deliver(to, std::move(message));
        }
    }
}

} // namespace sequoiawharf::testing

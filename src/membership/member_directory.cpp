#include "sequoiawharf/member_directory.h"

#include "sequoiawharf/membership.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMinNearEntries = 2; ///< With directory_rules::nearOnly, this number of instances in the caller's data centre suffices.
constexpr unsigned kFullLoad = 100;
constexpr unsigned kMinEntryWeight = 5; ///< Keeps a fully loaded instance in the random choice.

bool mayTakeCallers(const member_row &row)
{
    return row.ready && !row.leaving && !row.gateway.host.empty();
}

/// Keeps only the row with the highest incarnation of those that share a gateway address.
void keepNewestByAddress(std::vector<member_row> &rows)
{
    const auto order = [](const member_row &row) {
        return std::tuple(row.gateway, ~row.process);
    };
    std::ranges::sort(rows, {}, order);
    const auto duplicates = std::ranges::unique(rows, {}, &member_row::gateway);
    rows.erase(duplicates.begin(), duplicates.end());
}

unsigned weightOf(const member_row &row)
{
    return std::max(kFullLoad - std::min<unsigned>(row.load, kFullLoad), kMinEntryWeight);
}

/// Moves up to count randomly chosen rows to the answer. The probability of a row is proportional to its weight.
void drawByWeight(std::vector<const member_row *> &from, std::size_t count, random_source &random, directory_answer &to)
{
    while (count > 0 && !from.empty()) {
        const auto total = std::accumulate(from.begin(), from.end(), 0U, [](unsigned sum, const member_row *row) {
            return sum + weightOf(*row);
        });
        auto remaining = random.below(total);
        const auto chosen = std::ranges::find_if(from, [&](const member_row *row) {
            const auto weight = weightOf(*row);
            const bool isChosen = remaining < weight;
            remaining -= isChosen ? 0 : weight;
            return isChosen;
        });
        const auto &row = **chosen;
        to.entries.push_back({row.id, row.gateway, row.dataCentre, row.region});
        from.erase(chosen);
        --count;
    }
}

} // namespace

std::shared_ptr<const directory_view> makeDirectoryView(const membership &members, const directory_rules &rules, mono_time now)
{
    auto view = std::make_shared<directory_view>();
    view->ownCentre = members.self().dataCentre;
    view->ownRegion = members.self().region;
    view->rules = rules;
    if (!members.isViewConfirmed(now)) {
        return view; // otherwise the view would name this instance only, and all callers would move to it
    }
    view->entries = members.liveMembers(now);
    std::ranges::for_each(members.centres().entries() | std::views::values, [&](const centre_entry &entry) {
        if (centre_table::isFresh(entry, now)) {
            const auto &rows = entry.summary.entries;
            view->entries.insert(view->entries.end(), rows.begin(), rows.end());
        }
    });
    std::erase_if(view->entries, [](const member_row &row) {
        return !mayTakeCallers(row);
    });
    keepNewestByAddress(view->entries);
    return view;
}

directory_answer chooseEntries(const directory_view &view, const data_centre_id &near, const std::vector<region_id> &homes, random_source &random)
{
    const auto &centre = near.empty() ? view.ownCentre : near;
    const auto home = std::ranges::find(view.entries, centre, &member_row::dataCentre);
    const auto &region = home == view.entries.end() ? view.ownRegion : home->region;
    std::vector<const member_row *> inCentre;
    std::vector<const member_row *> inRegion;
    std::vector<const member_row *> elsewhere;
    std::ranges::for_each(view.entries, [&](const member_row &row) {
        if (row.region != region && !homes.empty() && std::ranges::find(homes, row.region) == homes.end()) {
            return;
        }
        auto &group = row.dataCentre == centre ? inCentre : (row.region == region ? inRegion : elsewhere);
        group.push_back(&row);
    });
    directory_answer answer;
    answer.lifetime = view.rules.lifetime;
    const auto maxEntries = view.rules.entries;
    const bool usesOnlyNear = inRegion.empty() || (view.rules.nearOnly && inCentre.size() >= kMinNearEntries);
    drawByWeight(inCentre, usesOnlyNear ? maxEntries : maxEntries - 1, random, answer);
    if (!usesOnlyNear) {
        drawByWeight(inRegion, maxEntries - answer.entries.size(), random, answer);
        drawByWeight(inCentre, maxEntries - answer.entries.size(), random, answer);
    }
    if (answer.entries.empty()) {
        drawByWeight(elsewhere, maxEntries, random, answer);
    }
    return answer;
}

} // namespace sequoiawharf

#include "sequoiawharf/member_directory.h"

#include "sequoiawharf/membership.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kLeastNear = 2; ///< Instances of the caller's data centre that suffice for an answer.
constexpr unsigned kFullLoad = 100;
constexpr unsigned kLeastWeight = 5; ///< A fully loaded instance is still handed out now and then.

bool mayBeHandedOut(const member_row &row)
{
    return row.ready && !row.leaving && !row.gateway.host.empty();
}

/// Keeps, of several rows with one gateway address, the one with the highest incarnation.
void keepNewestByAddress(std::vector<member_row> &rows)
{
    const auto order = [](const member_row &row) {
        return std::tuple(row.gateway, ~row.process);
    };
    std::ranges::sort(rows, {}, order);
    const auto doubled = std::ranges::unique(rows, {}, &member_row::gateway);
    rows.erase(doubled.begin(), doubled.end());
}

unsigned weightOf(const member_row &row)
{
    return std::max(kFullLoad - std::min<unsigned>(row.load, kFullLoad), kLeastWeight);
}

/// Moves up to count rows to the answer, drawn by weight.
void draw(std::vector<const member_row *> &from, std::size_t count, random_source &random, directory_answer &to)
{
    while (count > 0 && !from.empty()) {
        const auto total = std::accumulate(from.begin(), from.end(), 0U, [](unsigned sum, const member_row *row) {
            return sum + weightOf(*row);
        });
        auto left = random.below(total);
        const auto chosen = std::ranges::find_if(from, [&](const member_row *row) {
            const auto weight = weightOf(*row);
            const bool here = left < weight;
            left -= here ? 0 : weight;
            return here;
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
        return view; // callers would take this instance alone for the whole fleet
    }
    view->entries = members.liveMembers(now);
    std::ranges::for_each(members.centres().entries() | std::views::values, [&](const centre_entry &entry) {
        if (centre_table::isFresh(entry, now)) {
            const auto &rows = entry.summary.entries;
            view->entries.insert(view->entries.end(), rows.begin(), rows.end());
        }
    });
    std::erase_if(view->entries, [](const member_row &row) {
        return !mayBeHandedOut(row);
    });
    keepNewestByAddress(view->entries);
    return view;
}

directory_answer chooseEntries(const directory_view &view, const data_centre_id &near, random_source &random)
{
    const auto &centre = near.empty() ? view.ownCentre : near;
    const auto home = std::ranges::find(view.entries, centre, &member_row::dataCentre);
    const auto &region = home == view.entries.end() ? view.ownRegion : home->region;
    std::vector<const member_row *> inCentre;
    std::vector<const member_row *> inRegion;
    std::vector<const member_row *> elsewhere;
    std::ranges::for_each(view.entries, [&](const member_row &row) {
        auto &group = row.dataCentre == centre ? inCentre : (row.region == region ? inRegion : elsewhere);
        group.push_back(&row);
    });
    directory_answer answer;
    answer.lifetime = view.rules.lifetime;
    const auto most = view.rules.entries;
    const bool isNearEnough = inRegion.empty() || (view.rules.nearOnly && inCentre.size() >= kLeastNear);
    draw(inCentre, isNearEnough ? most : most - 1, random, answer);
    if (!isNearEnough) {
        draw(inRegion, most - answer.entries.size(), random, answer);
        draw(inCentre, most - answer.entries.size(), random, answer);
    }
    if (answer.entries.empty()) {
        draw(elsewhere, most, random, answer);
    }
    return answer;
}

} // namespace sequoiawharf

#pragma once

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <ranges>
#include <utility>
#include <vector>

namespace sequoiawharf
{

/// A list of immutable rows, ordered by name. Copies share their rows, so that changing a few rows of a copy does not copy the others. Row types have
/// a member `name`. Const methods are thread safe.
template<typename row> class row_list
{
public:
    using row_pointer = std::shared_ptr<const row>;
    using name_type = decltype(row::name);

    row_list() = default;

    /// Builds a list from rows in any order. Rows of the same name are all kept, in their given order.
    explicit row_list(std::vector<row> rows)
    {
        m_rows.reserve(rows.size());
        std::ranges::transform(rows, std::back_inserter(m_rows), [](row &entry) {
            return std::make_shared<const row>(std::move(entry));
        });
        std::ranges::stable_sort(m_rows, {}, nameOf);
    }

    /// Returns the rows as a random-access range of const row &.
    auto view() const
    {
        return m_rows | std::views::transform([](const row_pointer &entry) -> const row & {
                   return *entry;
               });
    }

    /// Returns the rows as shared pointers, ordered by name.
    const std::vector<row_pointer> &pointers() const
    {
        return m_rows;
    }

    /// Returns the row of that name, or null.
    row_pointer find(const name_type &name) const
    {
        const auto position = std::ranges::lower_bound(m_rows, name, {}, nameOf);
        return position != m_rows.end() && (*position)->name == name ? *position : nullptr;
    }

    /// Removes the row of that name, if any.
    void remove(const name_type &name)
    {
        const auto range = std::ranges::equal_range(m_rows, name, {}, nameOf);
        m_rows.erase(range.begin(), range.end());
    }

    /// Adds the row, or replaces the one of the same name.
    void set(row_pointer entry)
    {
        const auto position = std::ranges::lower_bound(m_rows, entry->name, {}, nameOf);
        if (position != m_rows.end() && (*position)->name == entry->name) {
            *position = std::move(entry);
        } else {
            m_rows.insert(position, std::move(entry));
        }
    }

    friend bool operator==(const row_list &a, const row_list &b)
    {
        return std::ranges::equal(a.m_rows, b.m_rows, [](const row_pointer &left, const row_pointer &right) {
            return left == right || *left == *right;
        });
    }

private:
    static const name_type &nameOf(const row_pointer &entry)
    {
        return entry->name;
    }

    std::vector<row_pointer> m_rows;
};

} // namespace sequoiawharf

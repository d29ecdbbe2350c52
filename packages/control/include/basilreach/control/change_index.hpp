#ifndef BASILREACH_CONTROL_CHANGE_INDEX_HPP
#define BASILREACH_CONTROL_CHANGE_INDEX_HPP

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace basilreach::control
{

// The revision of the last change of each row of a table.
template <class Key>
class change_index
{
public:
    // Records that the row was changed or added at a revision that is not below
    // earlier ones.
    void record(Key const& key, std::uint64_t revision)
    {
        auto const [it, is_new] = revisions_.emplace(key, revision);
        if (!is_new)
        {
            by_revision_.erase({it->second, key});
            it->second = revision;
        }
        by_revision_.emplace(revision, key);
    }

    // Returns the rows that were changed after a revision. The cost follows
    // their number, not the size of the table.
    [[nodiscard]] std::vector<Key> changed_after(std::uint64_t revision) const
    {
        std::vector<Key> out;
        if (revision == std::numeric_limits<std::uint64_t>::max())
            return out;
        for (auto it = by_revision_.lower_bound({revision + 1, Key{}});
             it != by_revision_.end(); ++it)
            out.push_back(it->second);
        return out;
    }

private:
    std::map<Key, std::uint64_t> revisions_;
    std::set<std::pair<std::uint64_t, Key>> by_revision_;
};

} // namespace basilreach::control

#endif

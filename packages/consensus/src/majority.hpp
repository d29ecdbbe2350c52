#ifndef BASILREACH_CONSENSUS_SRC_MAJORITY_HPP
#define BASILREACH_CONSENSUS_SRC_MAJORITY_HPP

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include <basilreach/consensus/member.hpp>

namespace basilreach::consensus
{

template <class T, class Function>
T member::majority(T own, Function value_of_peer) const
{
    std::vector<T> values;
    for (auto const& host : log_.members().voters)
    {
        auto const it = peer_by_name_.find(host);
        if (host == settings_.self)
            values.push_back(own);
        else
            values.push_back(it == peer_by_name_.end()
                                 ? T{}
                                 : value_of_peer(*peers_.find(it->second)));
    }
    if (values.empty())
        return T{};
    // In descending order, more than half of the values are at or above the one
    // in the middle.
    std::sort(values.begin(), values.end(), std::greater<T>{});
    return values[values.size() / 2];
}

} // namespace basilreach::consensus

#endif

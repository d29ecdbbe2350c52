#include <basilreach/dispatch/placement.hpp>

#include <algorithm>
#include <string>

#include <doctest/doctest.h>

#include <basilreach/dispatch/dispatch_mode.hpp>

namespace basilreach::dispatch
{

namespace
{

constexpr int key_count = 3000;

member_map make_members(int n)
{
    member_map members;
    for (int i = 0; i != n; ++i)
        members[daemon_name{"entry-" + std::to_string(i)}] = {
            data_centre_name{"dc" + std::to_string(i % 3)},
            "127.0.0.1:" + std::to_string(7000 + i)};
    return members;
}

placement_key key_of(int n)
{
    return {workspace_name{"w" + std::to_string(n)}, std::nullopt};
}

daemon_name first(member_map const& members, int key)
{
    return rank_holders(members, key_of(key), data_centre_name{"dc0"}).front();
}

} // namespace

TEST_CASE("a workspace is split from two tokens for each holder on")
{
    workspace_name const w{"w"};
    group_name const g{"g"};
    CHECK(make_placement_key(w, g, 47, 8, 3) == placement_key{w, std::nullopt});
    CHECK(make_placement_key(w, g, 48, 8, 3) == placement_key{w, g});
}

TEST_CASE("only members of the data centre are ranked, each once")
{
    auto const members = make_members(73);
    auto ranks = rank_holders(members, key_of(0), data_centre_name{"dc0"});
    CHECK(ranks.size() == 25);
    for (auto const& it : ranks)
        CHECK(members.at(it).data_centre == data_centre_name{"dc0"});
    std::sort(ranks.begin(), ranks.end());
    CHECK(std::unique(ranks.begin(), ranks.end()) == ranks.end());
    CHECK(rank_holders(members, key_of(0), data_centre_name{"x"}).empty());
}

// Daemons of different builds and platforms must agree.
TEST_CASE("the ranks are fixed")
{
    member_map members;
    for (auto const* name : {"e1", "e2", "e3", "e4"})
        members[daemon_name{name}] = {data_centre_name{"bne"}, ""};
    placement_key key{workspace_name{"sales"}, std::nullopt};
    auto const ranks = rank_holders(members, key, data_centre_name{"bne"});
    std::string all;
    for (auto const& it : ranks)
        all += it.str() + ' ';
    CHECK(all == "e2 e1 e4 e3 ");
}

TEST_CASE("the keys are spread over the members")
{
    auto const members = make_members(30);
    std::map<daemon_name, int> held;
    for (int n = 0; n != key_count; ++n)
        ++held[first(members, n)];
    CHECK(held.size() == 10);
    for (auto const& [name, n] : held)
    {
        CHECK(n > key_count / 10 * 8 / 10);
        CHECK(n < key_count / 10 * 12 / 10);
    }
}

TEST_CASE("a new member takes its keys and moves no others")
{
    auto const before = make_members(30);
    auto after = before;
    daemon_name const added{"added"};
    after[added] = {data_centre_name{"dc0"}, "127.0.0.1:1"};
    int moved = 0;
    for (int n = 0; n != key_count; ++n)
    {
        auto const holder = first(after, n);
        if (holder == added)
            ++moved;
        else
            CHECK(holder == first(before, n));
    }
    CHECK(moved > key_count / 11 * 8 / 10);
    CHECK(moved < key_count / 11 * 12 / 10);
}

TEST_CASE("the first holders are one in each data centre, of each group if "
          "split")
{
    auto const members = make_members(73);
    workspace_name const w{"w"};
    std::set<group_name> const groups{group_name{"g1"}, group_name{"g2"}};
    std::set<daemon_name> whole;
    std::set<daemon_name> split;
    for (auto const& data_centre : data_centres_of(members))
    {
        whole.insert(
            rank_holders(members, {w, std::nullopt}, data_centre).front());
        for (auto const& it : groups)
            split.insert(rank_holders(members, {w, it}, data_centre).front());
    }
    CHECK(first_holders(members, w, 11, groups) == whole);
    CHECK(first_holders(members, w, 12, groups) == split);
    CHECK(first_holders(members, w, 12, {}).empty());
    CHECK(first_holders({}, w, 12, groups).empty());
}

TEST_CASE("a group has holders by the mode and its connections")
{
    CHECK_FALSE(has_holders(dispatch_mode::local, 73, 56));
    CHECK(has_holders(dispatch_mode::holders, 9, 56));
    CHECK_FALSE(has_holders(dispatch_mode::holders, 0, 56));
    CHECK(has_holders(dispatch_mode::automatic, 57, 56));
    CHECK_FALSE(has_holders(dispatch_mode::automatic, 56, 56));
}

} // namespace basilreach::dispatch

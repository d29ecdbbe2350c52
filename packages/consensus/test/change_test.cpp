#include "cluster.hpp"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::consensus::test
{

namespace
{

// Adds a host as learner and makes it a voter once it has caught up.
void add_voter(cluster& it, std::string const& name)
{
    REQUIRE(it.converges());
    it.start(host_name{name});
    CHECK(it.change(&member::add_learner, name) == std::nullopt);
    REQUIRE(it.run_until(
        [&] { return it.change(&member::promote, name) == std::nullopt; },
        10s));
    REQUIRE(it.converges());
}

} // namespace

// Guards the replacement of a lost control host: if another host is lost right
// after it, the replacement must count in the majority.
TEST_CASE("a replacement host counts when a second host is lost")
{
    for (bool const adds_first : {true, false})
    {
        cluster it{7};
        REQUIRE(it.converges());
        for (int n = 0; n != 100; ++n)
            it.propose(it.leader(), std::to_string(n));
        REQUIRE(it.converges());
        // The new host is sent the snapshot in several chunks, some of them
        // lost.
        it.compact(it.leader());
        it.drop_percent = 10;
        it.stop(host_name{"c"});
        if (adds_first)
            add_voter(it, "d");
        REQUIRE(it.converges());
        CHECK(it.change(&member::remove, "c") == std::nullopt);
        REQUIRE(it.converges());
        if (!adds_first)
            add_voter(it, "d");
        auto const index = it.propose(it.leader(), "kept");
        REQUIRE(it.converges());
        it.stop(it.leader() == host_name{"a"} ? host_name{"a"}
                                              : host_name{"b"});
        CHECK(it.converges());
        CHECK(it.committed.at(index).payload == "kept");
        CHECK(it.violations.empty());
    }
}

// Guards against a host that joins before the first compaction and learns only
// the members added later: it elected itself as the only voter that it knew.
TEST_CASE("a host that joins before the first compaction knows all voters")
{
    cluster it{7};
    REQUIRE(it.converges());
    add_voter(it, "d");
    CHECK(it.change(&member::remove, "c") == std::nullopt);
    it.stop(host_name{"c"});
    REQUIRE(it.converges());
    CHECK(it.hosts.at(host_name{"d"}).running->members() ==
          it.hosts.at(it.leader()).running->members());
    CHECK(it.hosts.at(host_name{"d"}).running->members().voters.size() == 3);
    CHECK(it.violations.empty());
}

// Guards against two concurrent changes, whose majorities might not overlap,
// and against changes after which nothing could be committed.
TEST_CASE("an unsafe membership change is refused with the reason")
{
    cluster it{3};
    REQUIRE(it.converges());
    auto const leader = it.leader();
    auto const other = leader == host_name{"a"} ? "b" : "a";
    auto const third = leader == host_name{"c"} ? "b" : "c";
    CHECK(it.change(&member::promote, "d") == refusal::unknown_host);
    CHECK(it.change(&member::add_learner, "a") == refusal::already_member);
    CHECK(it.change(&member::add_learner, "d") == std::nullopt);
    CHECK(it.change(&member::remove, other) == refusal::change_in_progress);
    REQUIRE(it.converges());
    CHECK(it.change(&member::promote, "d") == refusal::learner_behind);
    it.stop(host_name{third});
    it.run_for(1s);
    CHECK(it.change(&member::remove, other) == refusal::quorum_at_risk);
    CHECK(it.change(&member::remove, third) == std::nullopt);
    REQUIRE(it.converges());
    // The leader can be removed too; the remaining voter takes over.
    CHECK(it.change(&member::remove, leader.str()) == std::nullopt);
    CHECK(it.run_until([&] { return it.leader() == host_name{other}; }, 2s));
    it.stop(leader);
    CHECK(it.converges());
    CHECK(it.change(&member::remove, other) == refusal::last_voter);
    CHECK(it.violations.empty());
}

// Guards against a cluster of two voters that can elect no leader: the host
// that is being removed has the longer log, so only it can win.
TEST_CASE("a host whose removal is not committed can still be elected")
{
    cluster it{5, {"a", "b"}};
    REQUIRE(it.converges());
    auto const leader = it.leader();
    it.isolate(leader);
    CHECK(it.change(&member::remove, leader.str()) == std::nullopt);
    it.stop(leader);
    it.run_for(2s);
    it.blocked_links.clear();
    it.start(leader);
    auto const other = leader == host_name{"a"} ? "b" : "a";
    CHECK(it.run_until([&] { return it.leader() == host_name{other}; }, 10s));
    CHECK(it.at(it.leader()).members().voters.size() == 1);
}

} // namespace basilreach::consensus::test

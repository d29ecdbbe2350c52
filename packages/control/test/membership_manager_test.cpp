#include <basilreach/control/membership_manager.hpp>

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace basilreach::control::test
{

namespace
{

using consensus::host_name;

host_name const a("a=10.0.0.1:1");
host_name const b("b=10.0.0.2:1");
host_name const c("c=10.0.0.3:1");
host_name const d("d=10.0.0.4:1");
// The host at c's address after it has lost its disk.
host_name const c2("c.2=10.0.0.3:1");

struct fixture
{
    fixture()
    {
        members.voters = {a, b, c};
        record_contact({b, c});
    }

    void record_contact(std::initializer_list<host_name> hosts)
    {
        for (auto const& it : hosts)
            manager.record_contact(it, now);
    }

    // Applies changes until none is needed and returns their number.
    int run()
    {
        int n = 0;
        while (auto const it = manager.next_change(members, now))
        {
            constexpr std::array kinds = {
                consensus::entry_kind::add_learner,
                consensus::entry_kind::promote_learner,
                consensus::entry_kind::remove_host};
            members = consensus::apply_change(
                members, {0, 0, kinds.at(static_cast<std::size_t>(it->step)),
                          it->host.str()});
            // Guards against changes without end.
            ++n;
            REQUIRE(n < 10);
        }
        return n;
    }

    consensus::membership members;
    instant now{10s};
    membership_manager manager{{}, a, now};
};

} // namespace

TEST_CASE("nothing changes while every voter is in contact")
{
    fixture f;
    f.now += 2s;
    f.record_contact({b, c});
    f.now += 2s;
    f.record_contact({b, c});
    CHECK(f.run() == 0);
}

// Guards against a host that loses its vote because it restarts.
TEST_CASE("a voter out of contact stays while no host can replace it")
{
    fixture f;
    f.now += 1min;
    f.record_contact({b});
    CHECK(f.run() == 0);
    CHECK(f.members.voters == std::vector{a, b, c});
}

// Guards against a host with an empty disk that votes under its former name.
TEST_CASE("a host that lost its disk replaces the voter at its address")
{
    fixture f;
    f.now += 500ms;
    f.manager.record_join_request(c2, f.now);
    REQUIRE(f.manager.next_change(f.members, f.now) ==
            membership_change{membership_step::add_learner, c2});
    f.members.learners = {c2};
    f.record_contact({b, c2});
    CHECK(f.run() == 2);
    CHECK(f.members.voters == std::vector{a, b, c2});
    CHECK(f.members.learners.empty());
}

TEST_CASE("a host at a new address replaces a voter out of contact")
{
    fixture f;
    f.manager.record_join_request(d, f.now);
    CHECK(f.run() == 1);
    CHECK(f.members.learners == std::vector{d});
    // All voters are in contact, so the host stays a learner.
    f.now += 1s;
    f.record_contact({b, c, d});
    CHECK(f.run() == 0);
    f.now += 2400ms;
    f.record_contact({b, d});
    CHECK(f.run() == 0);
    f.now += 100ms;
    f.record_contact({b, d});
    CHECK(f.run() == 2);
    CHECK(f.members.voters == std::vector{a, b, d});
}

TEST_CASE("one replacement is completed before the next begins")
{
    fixture f;
    f.members.voters = {a, b, c, d};
    f.members.learners = {c2};
    f.record_contact({b, c2, d});
    f.now += 3s;
    f.record_contact({b, c2, d});
    // The number of voters is made odd first.
    REQUIRE(f.manager.next_change(f.members, f.now) ==
            membership_change{membership_step::remove, c});
}

TEST_CASE("a leader keeps itself and removes learners out of contact")
{
    fixture f;
    f.members.voters = {a, b, c, d};
    f.record_contact({b, c, d});
    CHECK(f.run() == 0);
    f.members.voters = {a, b, c};
    f.members.learners = {d};
    f.now += 11s;
    f.record_contact({b, c});
    CHECK(f.run() == 1);
    CHECK(f.members.learners.empty());
}

// Guards against three voters in a deployment of more control hosts that must
// not lose what it acknowledged when two disks are lost at once.
TEST_CASE("learners become voters until the tolerated losses leave a majority")
{
    host_name const e("e=10.0.0.5:1");
    host_name const f("f=10.0.0.6:1");
    fixture it;
    membership_settings settings;
    settings.tolerated_losses = 2;
    it.manager = membership_manager(settings, a, it.now);
    it.record_contact({b, c, d, e, f});
    for (auto const& host : {d, e, f})
        it.manager.record_join_request(host, it.now);
    it.run();
    CHECK(it.members.voters.size() == 5);
    CHECK(it.members.learners.size() == 1);
    // A lost voter is replaced by the learner that is left.
    it.now += 3s;
    it.record_contact({b, d, e, f});
    it.run();
    CHECK(it.members.voters.size() == 5);
    CHECK(!it.members.has_voter(c));
}

} // namespace basilreach::control::test

#include <basilreach/daemon/limit_client.hpp>

#include <doctest/doctest.h>

#include <vector>

#include <basilreach/daemon/view_builder.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};

// Later than all first reports are due.
constexpr instant later = start + 10s;

control::control_state state_with_workspace()
{
    control::control_state out(make_rules_parser());
    out.apply(
        1, {{},
            "test",
            control::offer_rules{
                1, "workspace w rate=10 burst=10  # asked by the test: w\n"}});
    return out;
}

} // namespace

// Guards against daemons that send all their requests to control hosts of which
// none leads, and keep them from electing a leader.
TEST_CASE("a daemon requests tokens only from a leader that has answered")
{
    daemon_context context;
    context.settings.name = daemon_name("d");
    std::vector<messages::message> sent;
    limit_client it(
        context, 1, [&sent](messages::message const& m) { sent.push_back(m); },
        start);
    it.configure(state_with_workspace(), start);
    it.tick(later);
    CHECK(sent.empty());
    // The daemon does not wake up for what it must not send.
    CHECK(it.next_deadline() > later);
    it.set_contact(true);
    CHECK(it.next_deadline() <= later);
    it.tick(later);
    REQUIRE(sent.size() == 1);
    CHECK(std::holds_alternative<messages::limit_requests>(sent.front()));
    it.set_contact(false);
    it.change_allocator(later);
    it.tick(later + 1s);
    CHECK(sent.size() == 1);
}

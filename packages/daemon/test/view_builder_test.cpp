#include <basilreach/daemon/view_builder.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace basilreach;
using namespace basilreach::daemon;

// Guards against traffic that does not learn that a data centre is out of
// service.
TEST_CASE("servers of a data centre out of service are leaving in the view")
{
    control::control_state state(make_rules_parser());
    std::uint64_t index = 0;
    auto const apply = [&](control::command_body body)
    {
        state.apply(++index, {{}, "test", std::move(body)});
        return build_view(state, {});
    };
    group_name const group("g");
    for (char const* name : {"a", "b"})
        apply(control::announce_server{server_name(name), group,
                                       data_centre_name(name), "127.0.0.1:1",
                                       1});
    auto view =
        apply(control::set_data_centre_service{data_centre_name("a"), false});
    CHECK(view->servers.at(server_name("a")).is_leaving);
    CHECK(view->servers.at(server_name("a")).is_out_of_service);
    CHECK_FALSE(view->servers.at(server_name("b")).is_leaving);
    CHECK_FALSE(view->groups.at(group).is_out_of_service);
    view =
        apply(control::set_data_centre_service{data_centre_name("b"), false});
    CHECK(view->groups.at(group).is_out_of_service);
    apply(control::set_data_centre_service{data_centre_name("b"), true});
    view = apply(control::set_data_centre_service{data_centre_name("a"), true});
    CHECK_FALSE(view->servers.at(server_name("a")).is_leaving);
    CHECK_FALSE(view->groups.at(group).is_out_of_service);
}

#include <basilreach/daemon/reload.hpp>

#include <doctest/doctest.h>

using namespace basilreach;
using namespace basilreach::daemon;

namespace
{

settings::control_host_settings host(char const* address)
{
    return {daemon_name(address), address, data_centre_name("a")};
}

settings::daemon_settings example()
{
    settings::daemon_settings it;
    it.name = daemon_name("d");
    it.client_listen = "127.0.0.1:1";
    it.seeds = {"10.0.0.1:7"};
    it.control_hosts = {host("10.0.0.1:9")};
    return it;
}

} // namespace

// Guards against a daemon without the control role that knows only control
// hosts which have all been replaced since it started.
TEST_CASE("a reload adds the control hosts that are new in the settings file")
{
    auto changed = example();
    changed.seeds = {"10.0.0.2:7"};
    changed.control_hosts = {host("10.0.0.2:9"), host("10.0.0.1:9")};
    reload_plan const expected{{host("10.0.0.2:9")}, false};
    CHECK(plan_reload(example(), changed) == expected);
}

TEST_CASE("a reload reports fields that take effect at the next start")
{
    CHECK(plan_reload(example(), example()) == reload_plan{});
    auto changed = example();
    changed.traffic_threads = 9;
    CHECK(plan_reload(example(), changed).needs_restart);
}

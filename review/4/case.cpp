// A log that nobody reads for a while. The standard output of one entry
// machine's process is a pipe. Its reader stalls, as a log collector may; then
// a key is withdrawn while a client with this key has a transaction open.
#include "scenario.hpp"

namespace
{

using namespace review;

constexpr char withdrawn_key[] = "j8pjbvk9m68k7b2ex5wa";
constexpr double config_apply_ms = 3000;
constexpr int filling_statements = 1500;

json desired_state(int version, bool has_second_tenant)
{
    auto out = make_desired_state(
        version, json::array({make_route("booking", "primary", "svca")}),
        {"svca"});
    if (has_second_tenant)
        out["tenants"].push_back({{"name", "second"},
                                  {"api_keys", {withdrawn_key}},
                                  {"priority", 1},
                                  {"rate_per_s", 500},
                                  {"burst", 500}});
    return out;
}

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    group_settings group;
    group.name = "svca";
    group.server_ips.resize(3);
    group.work_ms = 2;
    scenario s(work_directory, 2, {group}, log);
    s.machines->collect_log("front-0");
    if (!s.start(desired_state(7, true), {"booking"}))
        return verdict::cannot_run;
    if (has_trouble)
        s.machines->stall_log(true);
    auto const filler = s.open_session("filler", 0, "booking");
    int refused = 0;
    for (int n = 0; n != filling_statements && refused < 20; ++n)
        refused += filler->run("READ item").is_success() ? 0 : 1;
    log.report("statements refused while the log filled: " +
               std::to_string(refused));

    client_session client("second", s.machines->front_address(0), "booking",
                          withdrawn_key, log);
    if (!client.is_open() || !client.run("BEGIN").is_success() ||
        !client.run("WRITE item 0").is_success())
        return verdict::cannot_run;
    if (!s.machines->put(desired_state(9, false)))
        return verdict::cannot_run;
    auto const confirmed_ms = now_ms();
    int runs = 0;
    for (int n = 1; n != 9 && client.is_open(); ++n)
    {
        sleep_ms(1000);
        auto const it = client.run("READ item");
        if (it.sent_ms < confirmed_ms + config_apply_ms ||
            !s.groups[0]->statements().contains(it.id))
            continue;
        ++runs;
        log.report("id=" + it.id + " sent " +
                   std::to_string(static_cast<int>(it.sent_ms - confirmed_ms)) +
                   " ms after the confirmation, with a key that was dropped, "
                   "was run by a server");
    }
    auto const later = s.open_session("later", 0, "booking");
    auto const it = later->run("READ item");
    log.report("a statement of another tenant at the same machine: " +
               (it.is_success() ? "served" : "error " + it.error));
    log.report(
        "readiness of the machine: " +
        std::to_string(send_http_request(s.machines->readiness_address(0),
                                         "GET", "/readiness", {}, 1000)
                           .status));
    return runs == 0 ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

// The end of a failed transaction. A client's transaction writes, and a later
// statement of it fails: the prepared name is not known any more. From then on
// the client is told the state E, in which an end of the transaction rolls
// back.
#include "scenario.hpp"

namespace
{

using namespace review;

constexpr int rounds = 10;

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    group_settings group;
    group.name = "svca";
    group.server_ips.resize(3);
    scenario s(work_directory, 1, {group}, log);
    auto const state = make_desired_state(
        7, json::array({make_route("booking", "primary", "svca")}), {"svca"});
    if (!s.start(state, {"booking"}))
        return verdict::cannot_run;
    int failed = 0;
    int broken = 0;
    for (int n = 0; n != rounds; ++n)
    {
        auto const name = std::to_string(n);
        auto const session = s.open_session("c" + name, 0, "booking");
        (void)session->run("PREPARE s1 WRITE q2c");
        if (!session->run("BEGIN").is_success() ||
            !session->run("WRITE debit" + name + " 100").is_success())
            return verdict::cannot_run;
        if (has_trouble)
            (void)session->run("DEALLOCATE s1");
        auto const second = session->run("EXECUTE s1 credit" + name + " 100");
        auto const end = session->run("COMMIT");
        failed += second.state == "E" ? 1 : 0;
        auto const reader = s.open_session("r" + name, 0, "booking");
        auto const debit = reader->run("READ debit" + name);
        if (!debit.is_success())
            return verdict::cannot_run;
        bool const is_kept = debit.rows.front() == "100";
        if (second.state == "E" && (is_kept || end.is_success()))
        {
            ++broken;
            log.report("transaction " + name + ": the client was told state E" +
                       " after ERROR " + second.error +
                       "; its end was answered with COMPLETE " + end.proof +
                       ", and its first write is " +
                       (is_kept ? "kept" : "gone"));
        }
        if (second.state == "T" && !is_kept)
            return verdict::cannot_run;
    }
    log.report("transactions=" + std::to_string(rounds) + " failed=" +
               std::to_string(failed) + " broken=" + std::to_string(broken));
    if (has_trouble && failed == 0)
        return verdict::cannot_run;
    return broken == 0 ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

// A read with a greatest age after its route's neighbour moved to its service.
// While a client has a transaction open at service a, a new desired state moves
// the route of the transaction to service b. The answers that service a's
// primary still gives in the transaction must not count as positions of service
// b's primary.
#include <cstdlib>

#include "scenario.hpp"

namespace
{

using namespace review;

constexpr double max_staleness_ms = 1500;
constexpr int rounds = 3;
// The replica in the zone of the entry machine that serves the reader.
constexpr char deaf_replica[] = "i-svcb1";

struct acknowledged_commit
{
    std::string value;
    double at_ms = 0;
};

json routes(std::string const& service_of_moving)
{
    return json::array(
        {make_route("intake", "read_your_writes", service_of_moving),
         make_route("booking", "primary", "svcb"),
         make_route("lookup", "bounded_staleness", "svcb"),
         make_route("casework", "primary", "svca")});
}

verdict run(std::string const& work_directory, bool has_trouble, record& log)
{
    group_settings a;
    a.name = "svca";
    a.server_ips.resize(3);
    group_settings b = a;
    b.name = "svcb";
    scenario s(work_directory, 2, {a, b}, log);
    // With TROUBLE=lag the replicas fall behind and the route stays.
    auto const* const trouble = std::getenv("TROUBLE");
    bool const moves_route =
        has_trouble && (trouble == nullptr || std::string(trouble) != "lag");
    int version = 7;
    std::vector<std::string> const services{"svca", "svcb"};
    if (!s.start(make_desired_state(version, routes("svca"), services),
                 {"casework", "booking"}))
        return verdict::cannot_run;
    auto& group_b = *s.groups[1];

    auto const writer = s.open_session("writer", 0, "booking");
    for (int n = 0; n != 60; ++n)
        if (!writer->run("WRITE filler " + std::to_string(n)).is_success())
            return verdict::cannot_run;
    sleep_ms(500);

    int reads = 0;
    int stale = 0;
    for (int round = 0; round != rounds; ++round)
    {
        auto const name = std::to_string(round);
        auto const moving = s.open_session("moving" + name, 1, "intake");
        auto const reader = s.open_session("reader" + name, 1, "lookup");
        if (!moving->run("BEGIN").is_success() ||
            !moving->run("WRITE report " + name).is_success())
            return verdict::cannot_run;
        if (has_trouble)
            group_b.set_deaf(deaf_replica, true);
        acknowledged_commit commit{"v" + name, 0};
        auto const answer = writer->run("WRITE serial " + commit.value);
        commit.at_ms = answer.received_ms;
        if (!answer.is_success())
            return verdict::cannot_run;
        if (moves_route && !s.machines->put(make_desired_state(
                               ++version, routes("svcb"), services)))
            return verdict::cannot_run;
        sleep_ms(2000);
        // The transaction goes on at the service at which it began.
        auto const next = moving->run("WRITE report again" + name);
        log.write("transaction after the change: proof=" + next.proof);
        sleep_ms(100);
        for (int n = 0; n != 5; ++n)
        {
            auto const read = reader->run("READ serial");
            if (!read.is_success() || read.rows.empty())
                continue;
            ++reads;
            // The read may lack commits that were acknowledged within the last
            // max_staleness_ms before it was sent.
            bool const must_see =
                commit.at_ms + max_staleness_ms < read.sent_ms;
            if (must_see && read.rows.front() != commit.value)
            {
                ++stale;
                log.report("stale read id=" + read.id + " got " +
                           read.rows.front() + " instead of " + commit.value +
                           ", acknowledged " +
                           std::to_string(
                               static_cast<int>(read.sent_ms - commit.at_ms)) +
                           " ms before the read was sent");
            }
            sleep_ms(20);
        }
        (void)moving->run("COMMIT");
        group_b.set_deaf(deaf_replica, false);
        if (moves_route && !s.machines->put(make_desired_state(
                               ++version, routes("svca"), services)))
            return verdict::cannot_run;
        sleep_ms(2500);
    }
    log.report("reads=" + std::to_string(reads) +
               " stale=" + std::to_string(stale));
    if (reads == 0)
        return verdict::cannot_run;
    return stale == 0 ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

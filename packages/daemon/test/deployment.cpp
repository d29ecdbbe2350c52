#include "deployment.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <basilreach/rules/digest.hpp>
#include <basilreach/telemetry/log_output.hpp>

namespace basilreach::daemon
{

namespace
{

using namespace std::chrono_literals;

constexpr char client_port[] = "6432";
constexpr char control_port[] = "7432";

std::string key_rule(char const* workspace, char const* key)
{
    return std::string("key ") + workspace +
           " sha256=" + rules::print_digest(rules::digest_of_key(key)) +
           "  # asked by the test: access\n";
}

std::string rules_text()
{
    return "workspace recall rate=50000 burst=10000  # asked by the test: w\n"
           "workspace public rate=50000 burst=10000  # asked by the test: w\n" +
           key_rule("recall", client_key) + key_rule("recall", other_key) +
           "route intake group=cases  # asked by the test: writes\n"
           "route lookup group=cases class=read  # asked by the test: reads\n"
           "route open group=cases class=read open=public  # asked by the "
           "test: anyone\n"
           "route ledger group=ledger  # asked by the test: writes\n";
}

} // namespace

std::string outcome(PGresult const* it)
{
    if (PQresultStatus(it) == PGRES_COMMAND_OK)
        return PQcmdStatus(const_cast<PGresult*>(it));
    if (PQresultStatus(it) != PGRES_TUPLES_OK)
    {
        auto const* state = PQresultErrorField(it, PG_DIAG_SQLSTATE);
        return state != nullptr ? state : "no answer";
    }
    std::string text;
    for (int row = 0; row != PQntuples(it); ++row)
        for (int n = 0; n != PQnfields(it); ++n)
            text +=
                (text.empty() ? "" : " ") + std::string(PQgetvalue(it, row, n));
    return text;
}

std::string run(client_ptr const& c, std::string const& text)
{
    return PQsendQuery(c.get(), text.c_str()) == 1 ? finish(c) : "no answer";
}

std::string run_all(client_ptr const& c, std::vector<std::string> const& texts)
{
    std::string last;
    for (auto const& it : texts)
        last = run(c, it);
    return last;
}

std::string finish(client_ptr const& c)
{
    std::string text = "no answer";
    auto const limit = std::chrono::steady_clock::now() + 10s;
    for (;;)
    {
        while (PQisBusy(c.get()) == 1)
        {
            pollfd entry{PQsocket(c.get()), POLLIN, 0};
            poll(&entry, 1, 1000);
            if (std::chrono::steady_clock::now() > limit)
                return "timeout";
            if (PQconsumeInput(c.get()) == 0)
                return text;
        }
        auto* const it = PQgetResult(c.get());
        if (it == nullptr)
            return text;
        text = outcome(it);
        PQclear(it);
    }
}

std::string select_value(std::string const& key)
{
    return "SELECT value FROM item WHERE key = '" + key + "'";
}

std::string insert(std::string const& key)
{
    return "INSERT INTO item (key, value) VALUES ('" + key + "', 'v')";
}

std::string increment(std::string const& key)
{
    return "UPDATE item SET amount = amount + 1 WHERE key = '" + key + "'";
}

simulated_group::simulated_group(std::string const& name,
                                 std::vector<std::string> const& consoles)
{
    stand_in::group_settings settings;
    settings.group = group_name(name);
    stand_in::announcement announce;
    announce.consoles = consoles;
    announce.operator_key = operator_key;
    for (auto const* it : {"a", "b", "c"})
    {
        settings.servers.emplace_back(name + "-" + it);
        announce.data_centres.emplace_back(std::string("dc-") + it);
    }
    settings.lag = 2ms;
    settings.user = "proxy";
    settings.password = "database-secret";
    auto opened = stand_in::server_loop::open(settings, {0, 0, 0}, announce);
    REQUIRE(opened.has_value());
    loop_ = std::move(opened).value();
    thread_ = std::thread([this] { loop_->run(); });
    auto const text =
        "host=127.0.0.1 user=proxy password=database-secret dbname=stand_in "
        "port=" +
        std::to_string(loop_->ports()[0]);
    control_.reset(PQconnectdb(text.c_str()));
}

simulated_group::~simulated_group()
{
    loop_->stop();
    thread_.join();
}

std::string simulated_group::control(std::string const& text)
{
    return run(control_, text);
}

deployment::deployment()
{
    auto name = (std::filesystem::temp_directory_path() / "daemon_test.XXXXXX")
                    .string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    directory_ = name;
    std::filesystem::create_directory(directory_ / "log");
    telemetry::set_log_output((directory_ / "log").string(),
                              telemetry::log_threshold::debug);
    std::ofstream(directory_ / "rules.txt") << rules_text();
    std::vector<std::string> consoles;
    for (std::size_t n = 0; n != daemons.size(); ++n)
    {
        start(n);
        consoles.push_back(ip_of(n) + ":" + client_port);
    }
    cases = std::make_unique<simulated_group>("cases", consoles);
    ledger = std::make_unique<simulated_group>("ledger", consoles);
    for (std::size_t n = 0; n != daemons.size(); ++n)
        for (auto const* it : {"intake", "ledger"})
            REQUIRE(eventually(
                [&]
                { return run(connect(n, it), select_value("none")).empty(); }));
    for (auto const* group : {"cases", "ledger"})
        for (auto const* it : {"a", "b", "c"})
            REQUIRE(eventually(
                [&]
                {
                    return !status(0, "server", std::string(group) + "-" + it,
                                   "address")
                                .empty();
                }));
}

deployment::~deployment()
{
    for (auto const& it : daemons)
        if (it)
            it->request_stop();
    for (auto& it : daemons)
        it.reset();
    telemetry::set_log_output(std::nullopt, telemetry::log_threshold::error);
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
}

// Each test process uses its own loopback addresses with fixed ports. A port of
// 127.0.0.1 that was free could be taken by an outgoing connection while a
// daemon restarts.
std::string deployment::ip_of(std::size_t n)
{
    auto const id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." +
           std::to_string(id % 250) + "." + std::to_string(n + 1);
}

client_ptr deployment::connect(std::size_t n,
                               std::string const& database,
                               std::string const& key,
                               std::string const& options) const
{
    auto const text = "hostaddr=" + ip_of(n) + " port=" + client_port +
                      " dbname=" + database + " user=client password=" + key +
                      " options='" + options + "'";
    return {PQconnectdb(text.c_str()), PQfinish};
}

client_ptr deployment::console(std::size_t n) const
{
    return connect(n, "basilreach", operator_key);
}

std::string deployment::status(std::size_t n,
                               std::string const& subject,
                               std::string const& name,
                               std::string const& property) const
{
    auto const c = console(n);
    answer_ptr const it(PQexec(c.get(), "SHOW STATUS"), PQclear);
    if (PQresultStatus(it.get()) != PGRES_TUPLES_OK)
        return {};
    for (int row = 0; row != PQntuples(it.get()); ++row)
        if (PQgetvalue(it.get(), row, 0) == subject &&
            PQgetvalue(it.get(), row, 1) == name &&
            PQgetvalue(it.get(), row, 2) == property)
            return PQgetvalue(it.get(), row, 3);
    return {};
}

std::string deployment::wait_for_primary(std::size_t n,
                                         std::string const& group,
                                         std::string const& other) const
{
    std::string primary;
    CHECK(eventually(
        [&]
        {
            primary = status(n, "group", group, "primary");
            return !primary.empty() && primary != other &&
                   status(n, "group", group, "phase") == "serving";
        }));
    return primary;
}

std::string deployment::verdict(std::size_t n,
                                std::string const& server,
                                std::string const& verdict)
{
    return run(console(n), "VERDICT " + server + " " + verdict + " SEQUENCE " +
                               std::to_string(++last_sequence_));
}

void deployment::start(std::size_t n)
{
    daemons[n] = std::make_unique<daemon_process>(settings_of(n));
}

settings::daemon_settings deployment::settings_of(std::size_t n) const
{
    auto const letter = [](std::size_t at)
    {
        return std::string(1, static_cast<char>('a' + at));
    };
    settings::daemon_settings it;
    it.name = daemon_name("entry-" + letter(n));
    it.data_centre = data_centre_name("dc-" + letter(n));
    it.roles = {settings::daemon_role::entry, settings::daemon_role::control};
    it.data_directory = (directory_ / letter(n)).string();
    std::filesystem::create_directory(*it.data_directory);
    it.client_listen = ip_of(n) + ":" + client_port;
    it.control_listen = ip_of(n) + ":" + control_port;
    for (std::size_t at = 0; at != daemons.size(); ++at)
        it.control_hosts.push_back({daemon_name("entry-" + letter(at)),
                                    ip_of(at) + ":" + control_port,
                                    data_centre_name("dc-" + letter(at))});
    it.operator_key = rules::digest_of_key(operator_key);
    it.initial_rules_file = (directory_ / "rules.txt").string();
    auto& d = it.durations;
    d.control_lease = 1s;
    d.lease_renewal = 100ms;
    d.lost_host_hold = 100ms;
    d.request_timeout = 1s;
    d.read_try_timeout = 200ms;
    d.drain_period = 300ms;
    d.drain_deadline = 1s;
    d.election_timeout_min = 100ms;
    d.election_timeout_max = 200ms;
    d.heartbeat = 25ms;
    return it;
}

} // namespace basilreach::daemon

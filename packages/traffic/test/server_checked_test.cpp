// Routing in server-checked groups, whose servers check positions and terms
// themselves.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

server_view server_at(char const* address, char const* data_centre)
{
    return {group_name("g"), data_centre_name(data_centre), address, false,
            false};
}

control_view make_view()
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    route.timeout = 800ms;
    route.reads = rules::read_guarantee::latest;
    view.routes.emplace(route_name("intake"), route);
    route.max_age = 1500ms;
    route.reads = rules::read_guarantee::bounded_age;
    view.routes.emplace(route_name("lookup"), route);
    route.max_age = 2500ms;
    route.reads = rules::read_guarantee::session;
    view.routes.emplace(route_name("ledger"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    view.keys.emplace(key_digest{2}, workspace_name("v"));
    view.servers.emplace(server_name("s1"), server_at("127.0.0.1:1", "a"));
    view.servers.emplace(server_name("s2"), server_at("127.0.0.1:2", "b"));
    view.servers.emplace(server_name("s3"), server_at("127.0.0.1:3", "c"));
    group_view group{1, server_name("s1"), 3};
    group.checked_by = rules::position_check::server;
    view.groups.emplace(group_name("g"), group);
    return view;
}

// The routes have moved to a second group, whose log is much longer.
control_view make_view_with_moved_routes()
{
    auto view = make_view();
    view.revision = 2;
    for (auto& [name, route] : view.routes)
        route.group = group_name("h");
    for (auto const* name : {"t1", "t2", "t3"})
    {
        auto server = server_at("127.0.0.1:4", "a");
        server.group = group_name("h");
        view.servers.emplace(server_name(name), server);
    }
    auto group = view.groups.at(group_name("g"));
    group.primary = server_name("t1");
    view.groups.emplace(group_name("h"), group);
    return view;
}

struct fixture
{
    explicit fixture(
        std::uint32_t connections = 2,
        bool has_limits = false,
        dispatch::dispatch_mode mode = dispatch::dispatch_mode::local)
    {
        engine_settings settings;
        settings.dispatch = mode;
        settings.data_centre = data_centre_name("b");
        settings.limits_enabled = has_limits;
        settings.serves_without_lease = true;
        settings.initial_connections = connections;
        it.emplace(settings);
        adopt(make_view());
    }

    void adopt(control_view const& view)
    {
        it->push(control_changed{std::make_shared<control_view>(view)});
        run();
    }

    void run()
    {
        actions.clear();
        for (bool again = true; std::exchange(again, false);)
            for (auto const& a : it->tick(now))
            {
                actions.push_back(a);
                if (auto const* open = std::get_if<open_connection>(&a))
                {
                    opened.insert_or_assign(open->connection, *open);
                    it->push(connection_opened{open->connection});
                    again = true;
                }
            }
    }

    template <class Action>
    std::optional<Action> find() const
    {
        for (auto const& a : actions)
            if (auto const* found = std::get_if<Action>(&a))
                return *found;
        return std::nullopt;
    }

    void open_session(std::uint64_t id,
                      char const* route,
                      std::uint8_t key = 1,
                      bool is_forwarded = false)
    {
        session_opened event;
        event.session = session_id{id};
        event.route = route_name(route);
        event.workspace = workspace_name(key == 1 ? "w" : "v");
        event.key = key_digest{key};
        event.is_forwarded = is_forwarded;
        it->push(event);
    }

    send_statement send(std::uint64_t id,
                        statement_verb verb,
                        transaction_opening opens = transaction_opening::none)
    {
        it->push(statement_received{session_id{id}, verb, opens});
        run();
        auto const sent = find<send_statement>();
        REQUIRE(sent.has_value());
        return *sent;
    }

    void answer(send_statement const& to,
                log_position position,
                bool is_from_primary,
                transaction_status status = transaction_status::idle)
    {
        answer_received event{to.connection, false, status, position};
        event.is_from_primary = is_from_primary;
        it->push(event);
        run();
    }

    void refuse(send_statement const& to, answer_proof proof)
    {
        answer_received event{to.connection, true, transaction_status::idle,
                              std::nullopt};
        event.proof = proof;
        it->push(event);
        run();
    }

    std::string server_of(send_statement const& sent) const
    {
        return opened.at(sent.connection).server.str();
    }

    // Runs a write of session `id`, after which the engine knows a position of
    // the primary.
    void write(std::uint64_t id, log_position position)
    {
        auto const sent = send(id, statement_verb::write);
        CHECK(server_of(sent) == "s1");
        answer(sent, position, true);
        REQUIRE(find<relay_answer>().has_value());
    }

    instant now{1h};
    std::optional<engine> it;
    std::vector<action> actions;
    std::map<connection_id, open_connection> opened;
};

} // namespace

TEST_CASE("a write is relayed without waiting for replicas or for a lease")
{
    fixture f;
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    CHECK(f.find<relay_answer>()->position ==
          group_position{group_name("g"), {3, 10}});
}

TEST_CASE("a read requires the session's position at any server")
{
    fixture f;
    f.open_session(1, "ledger");
    f.open_session(2, "ledger");
    f.write(1, {3, 10});
    f.now += 10ms;
    f.write(2, {3, 20});
    f.now += 10ms;
    CHECK(f.send(1, statement_verb::read).after == log_position{3, 10});
    auto const second = f.send(2, statement_verb::read);
    CHECK(second.after == log_position{3, 20});
    // One outstanding statement at the local replica does not make a server in
    // another data centre preferable.
    CHECK(f.server_of(second) == "s2");
}

TEST_CASE("a read with a maximum age requires the oldest position allowed")
{
    fixture f;
    f.open_session(1, "ledger");
    f.open_session(2, "lookup");
    f.write(1, {3, 10});
    f.now += 1s;
    f.write(1, {3, 20});
    f.now += 400ms;
    auto const recent = f.send(2, statement_verb::read);
    CHECK(recent.after == log_position{3, 10});
    CHECK(recent.wrapping == transaction_wrapping::none);
    CHECK(f.server_of(recent) == "s2");
    f.answer(recent, {3, 15}, false);
    // The first position is too old now.
    f.now += 200ms;
    auto const later = f.send(2, statement_verb::read);
    CHECK(later.after == log_position{3, 20});
    f.answer(later, {3, 25}, false);
    // A replica's position does not count: it says nothing about which writes
    // have been acknowledged.
    f.now += 2s;
    f.it->push(statement_received{session_id{2}, statement_verb::read});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    // The primary receives a positions query, which occupies no slot, and the
    // read runs at a replica.
    auto const query = f.find<query_position>();
    REQUIRE(query.has_value());
    CHECK(query->verify_primary);
    CHECK(f.opened.at(query->connection).server.str() == "s1");
    f.it->push(position_observed{query->connection, {3, 30}, true});
    f.run();
    auto const last = f.find<send_statement>();
    REQUIRE(last.has_value());
    CHECK(last->after == log_position{3, 30});
    CHECK(f.server_of(*last) == "s2");
}

// Guards against a position of one group that counts as a position of another
// one: the primary of group g answers in a transaction whose route has moved to
// group h meanwhile, and reads at h then ran at a replica that was behind.
TEST_CASE("a transaction stays in its group when its route moves")
{
    fixture f;
    f.open_session(1, "ledger");
    f.open_session(2, "lookup");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 10}, true, transaction_status::in_transaction);
    f.adopt(make_view_with_moved_routes());
    f.now += 10ms;
    auto const inner = f.send(1, statement_verb::write);
    CHECK(inner.connection == opening.connection);
    CHECK(inner.wrapping == transaction_wrapping::none);
    f.answer(inner, {3, 10}, true, transaction_status::in_transaction);
    f.now += 10ms;
    // Nothing is known of the positions at h, so the read waits for one.
    f.it->push(statement_received{session_id{2}, statement_verb::read});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    auto const query = f.find<query_position>();
    REQUIRE(query.has_value());
    CHECK(f.opened.at(query->connection).server.str() == "t1");
    f.it->push(position_observed{query->connection, {1, 700}, true});
    f.run();
    CHECK(f.find<send_statement>()->after == log_position{1, 700});
    auto const commit = f.send(1, statement_verb::commit);
    f.answer(commit, {3, 11}, true);
    CHECK(f.find<relay_answer>()->position ==
          group_position{group_name("g"), {3, 11}});
}

// Guards against a session that requires a position of one group at the servers
// of another one, which never reach it or are behind it already.
TEST_CASE("a session has a position of its own in each group")
{
    fixture f;
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    auto moved = make_view_with_moved_routes();
    f.adopt(moved);
    f.now += 10ms;
    f.it->push(statement_received{session_id{1}, statement_verb::read});
    f.run();
    auto const query = f.find<query_position>();
    REQUIRE(query.has_value());
    f.it->push(position_observed{query->connection, {1, 700}, true});
    f.run();
    auto const read = f.find<send_statement>();
    REQUIRE(read.has_value());
    CHECK(read->after == log_position{1, 700});
    f.answer(*read, {1, 700}, false);
    f.now += 10ms;
    auto const written = f.send(1, statement_verb::write);
    f.answer(written, {1, 701}, true);
    // The write at g counts again once the route has moved back.
    auto back = make_view();
    back.revision = 3;
    f.adopt(back);
    f.now += 10ms;
    CHECK(f.send(1, statement_verb::read).after == log_position{3, 10});
}

// Guards against a change of a route that takes effect within a transaction.
TEST_CASE("statements of a transaction keep the timeout it began with")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 10}, true, transaction_status::in_transaction);
    auto view = make_view();
    view.revision = 2;
    view.routes.at(route_name("ledger")).timeout = 100ms;
    f.adopt(view);
    f.send(1, statement_verb::write);
    f.now += 799ms;
    f.run();
    CHECK_FALSE(f.find<refuse>().has_value());
    f.now += 1ms;
    f.run();
    CHECK(f.find<refuse>().has_value());
}

// Guards against an acknowledged commit that a promotion loses: while a primary
// with synchronous replicas is replaced, it still acknowledges commits that the
// promoted server has not received.
TEST_CASE("commits are held back while a synchronous primary is replaced")
{
    fixture f(8);
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).sync_replicas = 1;
    f.adopt(view);
    CHECK(f.find<control_view_adopted>()->revision == 2);
    f.it->push(lease_changed{f.now + 10s});
    for (std::uint64_t id = 1; id != 5; ++id)
        f.open_session(id, "ledger");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 9}, true, transaction_status::in_transaction);
    auto const answered = f.send(2, statement_verb::write);
    auto const late = f.send(3, statement_verb::write);
    view.revision = 3;
    view.groups.at(group_name("g")).primary.reset();
    f.adopt(view);
    // The daemon confirms the view only when no commit is outstanding.
    CHECK_FALSE(f.find<control_view_adopted>().has_value());
    f.answer(answered, {3, 10}, true);
    CHECK(f.find<relay_answer>().has_value());
    CHECK_FALSE(f.find<control_view_adopted>().has_value());
    // A commit of an open transaction is refused, and the transaction is rolled
    // back. A single write waits for the next primary.
    f.it->push(statement_received{session_id{1}, statement_verb::commit,
                                  transaction_opening::opened});
    f.run();
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK(f.find<close_connection>()->connection == opening.connection);
    f.it->push(statement_received{session_id{4}, statement_verb::write});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    // Nor does it wait longer than the leader does.
    f.now += 150ms;
    f.run();
    CHECK(f.find<control_view_adopted>()->revision == 3);
    view.revision = 4;
    view.groups.at(group_name("g")).primary = server_name("s3");
    f.adopt(view);
    CHECK(f.server_of(*f.find<send_statement>()) == "s3");
    // The answer of the former primary says nothing any more.
    f.answer(late, {3, 11}, true);
    CHECK_FALSE(f.find<relay_answer>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
}

// Guards against an unknown outcome of a commit that the former primary has
// rejected and the next one has run.
TEST_CASE("a fenced commit that was rejected can succeed at the next primary")
{
    fixture f;
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).sync_replicas = 1;
    f.adopt(view);
    f.it->push(lease_changed{f.now + 10s});
    f.open_session(1, "ledger");
    auto const first = f.send(1, statement_verb::write);
    view.revision = 3;
    view.groups.at(group_name("g")).primary.reset();
    f.adopt(view);
    f.now += 150ms;
    f.run();
    REQUIRE(f.find<control_view_adopted>().has_value());
    f.refuse(first, answer_proof::not_run_not_primary);
    view.revision = 4;
    view.groups.at(group_name("g")).primary = server_name("s3");
    f.adopt(view);
    auto const second = f.find<send_statement>();
    REQUIRE(second.has_value());
    f.answer(*second, {4, 1}, true);
    CHECK(f.find<relay_answer>().has_value());
}

// Guards against commits by a daemon that has not heard of the replacement of
// their primary.
TEST_CASE("commits in groups with synchronous replicas need a lease")
{
    fixture f;
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).sync_replicas = 1;
    f.adopt(view);
    f.it->push(lease_changed{f.now + 1s});
    f.open_session(1, "ledger");
    f.open_session(2, "ledger");
    auto const sent = f.send(1, statement_verb::write);
    f.now += 1s;
    f.answer(sent, {3, 10}, true);
    CHECK_FALSE(f.find<relay_answer>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
    f.it->push(statement_received{session_id{2}, statement_verb::write});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    f.it->push(lease_changed{f.now + 1s});
    f.run();
    CHECK(f.find<send_statement>().has_value());
}

// Guards against a daemon that runs statements by an old view, e.g. for a key
// that has been withdrawn, although it could know the present one: the leader
// was late, or refused it the lease because it lacked a change. A daemon that
// is partitioned goes on for as long as that lasts.
TEST_CASE("a daemon without a lease runs statements only while partitioned")
{
    fixture f(8);
    for (std::uint64_t id = 1; id != 4; ++id)
        f.open_session(id, "ledger");
    auto const is_run = [&f](std::uint64_t id)
    {
        f.it->push(statement_received{session_id{id}, statement_verb::write});
        f.run();
        auto const sent = f.find<send_statement>();
        if (sent)
            f.answer(*sent, {3, 10}, true);
        else
            CHECK(f.find<refuse>()->reason == refusal_reason::no_lease);
        return sent.has_value();
    };
    f.it->push(leader_reach_changed{true});
    CHECK_FALSE(is_run(1));
    f.it->push(lease_changed{f.now + 3s});
    CHECK(is_run(1));
    auto const opening =
        f.send(2, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 11}, true, transaction_status::in_transaction);
    auto const ending =
        f.send(3, statement_verb::write, transaction_opening::read_write);
    f.answer(ending, {3, 12}, true, transaction_status::in_transaction);
    f.now += 3s;
    CHECK_FALSE(is_run(1));
    // A further statement of an open transaction is refused and rolls it back;
    // its end runs.
    f.it->push(statement_received{session_id{2}, statement_verb::write,
                                  transaction_opening::opened});
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK(f.find<close_connection>()->connection == opening.connection);
    f.it->push(statement_received{session_id{3}, statement_verb::commit,
                                  transaction_opening::opened});
    f.run();
    CHECK(f.find<send_statement>()->connection == ending.connection);
    f.it->push(leader_reach_changed{false});
    for (int n = 0; n != 10; ++n)
    {
        f.now += 10s;
        CHECK(is_run(1));
    }
}

// Guards against a stop that cuts statements which have just been passed on:
// transactions went on until the process ended.
TEST_CASE("a planned stop refuses the statements that it would cut")
{
    fixture f(8);
    for (std::uint64_t id = 1; id != 4; ++id)
        f.open_session(id, "ledger");
    auto const pausing =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(pausing, {3, 9}, true, transaction_status::in_transaction);
    auto const busy =
        f.send(2, statement_verb::write, transaction_opening::read_write);
    f.it->push(drain_advanced{drain_stage::sessions});
    f.run();
    // Only the session without a transaction has ended.
    CHECK(f.find<end_session>()->session == session_id{3});
    auto const next = f.send(1, statement_verb::write);
    f.answer(next, {3, 9}, true, transaction_status::in_transaction);
    f.it->push(drain_advanced{drain_stage::transactions});
    f.run();
    CHECK_FALSE(f.find<refuse>().has_value());
    // What has been passed on is answered; nothing new is passed on.
    f.answer(busy, {3, 9}, true, transaction_status::in_transaction);
    CHECK(f.find<relay_answer>()->session == session_id{2});
    f.it->push(statement_received{session_id{1}, statement_verb::commit,
                                  transaction_opening::opened});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK(f.find<refuse>()->reason == refusal_reason::draining);
    CHECK(f.find<close_connection>()->connection == pausing.connection);
    CHECK(f.find<end_session>()->session == session_id{1});
}

// Guards against a process that ends without an answer to a statement whose
// server does not answer.
TEST_CASE("a planned stop ends with an answer to each statement")
{
    fixture f(8);
    f.open_session(1, "ledger");
    f.open_session(2, "ledger");
    f.send(1, statement_verb::write);
    auto const opening =
        f.send(2, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 9}, true, transaction_status::in_transaction);
    f.it->push(drain_advanced{drain_stage::statements});
    f.run();
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->session == session_id{1});
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
    std::set<session_id> ended;
    for (auto const& a : f.actions)
        if (auto const* it = std::get_if<end_session>(&a))
            ended.insert(it->session);
    CHECK(ended == std::set<session_id>{session_id{1}, session_id{2}});
}

// Guards against a transaction that goes on at the server after its client was
// told that it has failed: the client's next transaction ran inside it.
TEST_CASE("a refused statement ends its transaction at the server")
{
    fixture f;
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).sync_replicas = 1;
    f.adopt(view);
    f.it->push(lease_changed{f.now + 1s});
    f.open_session(1, "ledger");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 9}, true, transaction_status::in_transaction);
    f.now += 1s;
    f.it->push(statement_received{session_id{1}, statement_verb::commit,
                                  transaction_opening::opened});
    f.run();
    CHECK_FALSE(f.find<refuse>().has_value());
    f.now += 800ms;
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK(f.find<close_connection>()->connection == opening.connection);
}

// Guards against an overload that persists after its cause: while the primary
// is slow, no position of it is recent, so every read goes to the primary,
// which stays slow.
TEST_CASE("reads with a maximum age never pile up at a slow primary")
{
    fixture f(8);
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    f.now += 3s;
    for (std::uint64_t id = 2; id != 12; ++id)
    {
        f.open_session(id, "lookup");
        f.it->push(statement_received{session_id{id}, statement_verb::read});
    }
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    std::size_t queries = 0;
    for (auto const& a : f.actions)
        queries += std::holds_alternative<query_position>(a) ? 1 : 0;
    CHECK(queries == 1);
    auto const query = *f.find<query_position>();
    f.it->push(position_observed{query.connection, {3, 11}, true});
    f.run();
    std::size_t at_primary = 0;
    std::size_t sent = 0;
    for (auto const& a : f.actions)
        if (auto const* it = std::get_if<send_statement>(&a))
        {
            ++sent;
            at_primary += f.server_of(*it) == "s1" ? 1 : 0;
        }
    CHECK(sent == 10);
    CHECK(at_primary < 5);
}

// Guards against reads that wait for the primary's position until their
// deadline: a host without any connection to the primary did not ask for one.
TEST_CASE("a read that needs the primary's position asks for a connection")
{
    fixture f(0);
    f.open_session(1, "lookup");
    f.it->push(statement_received{session_id{1}, statement_verb::read});
    f.run();
    std::optional<connections_used> wanted;
    for (auto const& a : f.actions)
        if (auto const* it = std::get_if<connections_used>(&a);
            it != nullptr && it->server == server_name("s1"))
            wanted = *it;
    REQUIRE(wanted);
    CHECK(wanted->wanted == 1);
    f.it->push(connection_share_changed{server_name("s1"), 1});
    f.run();
    CHECK(f.find<query_position>());
}

// Guards against idle connections that a holder keeps for 10 s, or until its
// next statement, while another daemon needs their share.
TEST_CASE("an idle connection of a placed workspace is wanted for 2 s")
{
    constexpr int members = 3;
    // The servers accept fewer connections than there are members, or as many.
    for (std::uint32_t const connections : {2U, 3U})
    {
        fixture f(2, false, dispatch::dispatch_mode::automatic);
        auto view = make_view();
        view.revision = 2;
        view.groups.at(group_name("g")).connections = connections;
        for (int n = 0; n != members; ++n)
            view.members[daemon_name(std::to_string(n))] = {
                data_centre_name("a"), "127.0.0.1:1"};
        f.adopt(view);
        // The statement runs here although another daemon holds its workspace.
        f.open_session(1, "ledger", 1, true);
        f.write(1, {3, 10});
        f.now += 1900ms;
        f.run();
        CHECK_FALSE(f.find<connections_used>());
        f.now += 100ms;
        f.run();
        auto const used = f.find<connections_used>();
        CHECK(used.has_value() == (connections < members));
        if (used)
            CHECK(*used == connections_used{server_name("s1"), 1, 0});
    }
}

// Guards against retries that double the load of slow servers.
TEST_CASE("reads without an answer are retried within a budget")
{
    fixture f(64);
    f.open_session(1, "lookup");
    f.open_session(2, "ledger");
    f.write(2, {3, 10});
    std::size_t attempts = 0;
    for (std::uint64_t id = 10; id != 40; ++id)
    {
        f.open_session(id, "lookup");
        f.it->push(statement_received{session_id{id}, statement_verb::read});
    }
    f.run();
    // No server answers; without a budget, each timeout of 1 s would start
    // another attempt.
    for (int n = 0; n != 3; ++n)
    {
        f.now += 250ms;
        f.run();
        for (auto const& a : f.actions)
            attempts += std::holds_alternative<send_statement>(a) ? 1 : 0;
    }
    CHECK(attempts <= 10);
}

// Guards against connections that are closed and opened again for another
// workspace all the time at a server that is already slow, where each opening
// occupies a slot.
TEST_CASE("connections are evicted less often at a slow server")
{
    fixture f(1);
    f.open_session(1, "ledger", 1);
    f.open_session(2, "ledger", 2);
    for (int n = 0; n != 5; ++n)
    {
        auto const sent = f.send(1, statement_verb::write);
        f.now += 700ms;
        f.answer(sent, {3, 10}, true);
    }
    // One connection is evicted at once, the next one only after the interval.
    f.answer(f.send(2, statement_verb::write), {3, 11}, true);
    f.it->push(statement_received{session_id{1}, statement_verb::write});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    CHECK_FALSE(f.find<open_connection>().has_value());
    f.now += 250ms;
    f.run();
    CHECK(f.find<send_statement>().has_value());
}

TEST_CASE("reads wait for a new primary when the known one no longer is it")
{
    fixture f;
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    f.now += 3s;
    f.open_session(2, "lookup");
    f.it->push(statement_received{session_id{2}, statement_verb::read});
    f.run();
    auto const query = f.find<query_position>();
    REQUIRE(query.has_value());
    f.it->push(position_observed{query->connection, {3, 10}, false});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).primary = server_name("s3");
    f.adopt(view);
    auto const sent = f.find<send_statement>();
    REQUIRE(sent.has_value());
    CHECK(f.server_of(*sent) == "s3");
    CHECK(sent->wrapping == transaction_wrapping::primary_check);
}

TEST_CASE("a read of the latest data runs at a server that proves to be the "
          "primary")
{
    fixture f;
    f.open_session(1, "intake");
    f.write(1, {3, 10});
    auto const read = f.send(1, statement_verb::read);
    CHECK(f.server_of(read) == "s1");
    CHECK(read.wrapping == transaction_wrapping::primary_check);
    f.answer(read, {3, 10}, true);
    auto const first =
        f.send(1, statement_verb::read, transaction_opening::read_only);
    CHECK(f.server_of(first) == "s1");
    CHECK(first.wrapping == transaction_wrapping::begin_read_write);
}

TEST_CASE("a read that a replica rejects as behind runs at another server")
{
    fixture f;
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    auto const first = f.send(1, statement_verb::read);
    CHECK(f.server_of(first) == "s2");
    f.refuse(first, answer_proof::not_run_behind);
    auto const second = f.find<send_statement>();
    REQUIRE(second.has_value());
    CHECK(f.server_of(*second) != "s2");
    f.refuse(*second, answer_proof::not_run_behind);
    auto const third = f.find<send_statement>();
    REQUIRE(third.has_value());
    f.answer(*third, {3, 11}, false);
    CHECK(f.find<relay_answer>().has_value());
}

TEST_CASE("a session whose position was lost with a former term can still read")
{
    fixture f;
    f.open_session(1, "ledger");
    f.write(1, {3, 10});
    // Every server rejects the read as behind: the log of term 4 does not
    // contain the session's position.
    auto sent = f.send(1, statement_verb::read);
    for (int n = 0; n != 3; ++n)
    {
        f.refuse(sent, answer_proof::not_run_behind);
        REQUIRE(f.find<send_statement>().has_value());
        sent = *f.find<send_statement>();
    }
    CHECK(sent.wrapping == transaction_wrapping::primary_check);
    f.answer(sent, {4, 5}, true);
    CHECK(f.find<relay_answer>().has_value());
    f.now += 10ms;
    CHECK(f.send(1, statement_verb::read).after == log_position{4, 5});
}

TEST_CASE("a write sent to a former primary runs once the new one is known")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const first = f.send(1, statement_verb::write);
    f.refuse(first, answer_proof::not_run_not_primary);
    CHECK_FALSE(f.find<send_statement>().has_value());
    CHECK_FALSE(f.find<relay_answer>().has_value());
    auto view = make_view();
    view.revision = 2;
    view.groups.at(group_name("g")).primary = server_name("s3");
    f.adopt(view);
    auto const second = f.find<send_statement>();
    REQUIRE(second.has_value());
    CHECK(f.server_of(*second) == "s3");
}

TEST_CASE("a write is sent to the same primary again if no other becomes known")
{
    fixture f;
    f.open_session(1, "ledger");
    f.refuse(f.send(1, statement_verb::write),
             answer_proof::not_run_not_primary);
    CHECK_FALSE(f.find<send_statement>().has_value());
    f.now += 100ms;
    f.run();
    CHECK(f.find<send_statement>().has_value());
}

TEST_CASE("a connection serves only the workspace that it was opened for")
{
    fixture f(1);
    f.open_session(1, "ledger", 1);
    f.open_session(2, "ledger", 2);
    f.write(1, {3, 10});
    auto const other = f.send(2, statement_verb::write);
    CHECK(f.opened.at(other.connection).workspace == workspace_name("v"));
    // The connection share is 1, so the connection of the other workspace was
    // closed.
    CHECK(f.find<close_connection>().has_value());
}

TEST_CASE("the outcome is unknown only if a commit or a single write is lost")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const write = f.send(1, statement_verb::write);
    f.it->push(connection_failed{write.connection});
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);

    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    CHECK(opening.wrapping == transaction_wrapping::begin_read_write);
    f.answer(opening, {3, 10}, true, transaction_status::in_transaction);
    auto const inner = f.send(1, statement_verb::write);
    CHECK(inner.wrapping == transaction_wrapping::none);
    f.it->push(connection_failed{inner.connection});
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK_FALSE(f.find<refuse>()->close_session);

    auto const again =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(again, {3, 10}, true, transaction_status::in_transaction);
    auto const commit = f.send(1, statement_verb::commit);
    f.it->push(connection_failed{commit.connection});
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
}

TEST_CASE("the loss of a transaction without a statement in progress is "
          "reported")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 10}, true, transaction_status::in_transaction);
    f.it->push(connection_failed{opening.connection});
    f.run();
    CHECK(f.find<abort_transaction>().has_value());
    CHECK_FALSE(f.find<end_session>().has_value());
}

// Guards against a statement that runs outside its transaction: its connection
// was reset while the statement arrived.
TEST_CASE("a statement that arrives as its transaction is lost does not run")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const opening =
        f.send(1, statement_verb::write, transaction_opening::read_write);
    f.answer(opening, {3, 10}, true, transaction_status::in_transaction);
    f.it->push(connection_failed{opening.connection});
    f.it->push(statement_received{session_id{1}, statement_verb::write,
                                  transaction_opening::opened});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    CHECK(f.find<abort_transaction>().has_value());
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::not_run);
    CHECK(f.find<refuse>()->reason == refusal_reason::transaction_lost);
}

TEST_CASE("a statement ends at its route's timeout")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const sent = f.send(1, statement_verb::write);
    f.now += 799ms;
    f.run();
    CHECK_FALSE(f.find<refuse>().has_value());
    f.now += 1ms;
    f.run();
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
    CHECK(f.find<close_connection>()->connection == sent.connection);
}

// Guards against a health verdict that waits only for missing reports of the
// server itself, although the server has answered no statement for a while.
TEST_CASE("a silent server is reported until it answers")
{
    fixture f;
    f.open_session(1, "intake");
    auto const first = f.send(1, statement_verb::write);
    f.now += 10ms;
    f.answer(first, {3, 9}, true);
    auto const sent = f.send(1, statement_verb::write);
    f.now += 500ms;
    f.run();
    CHECK_FALSE(f.find<server_reachability>().has_value());
    f.now += 100ms;
    f.run();
    CHECK(f.find<server_reachability>() ==
          server_reachability{server_name("s1"), false});
    f.now += 100ms;
    f.answer(sent, {3, 10}, true);
    CHECK(f.find<server_reachability>() ==
          server_reachability{server_name("s1"), true});
    f.now += 5s;
    f.run();
    CHECK_FALSE(f.find<server_reachability>().has_value());
}

// Guards against clients that wait until their timeout for a primary that is
// known to be silent, and against a silent primary that is never tried again.
TEST_CASE("a statement for a silent primary is refused at once")
{
    fixture f(8);
    for (std::uint64_t id = 1; id != 6; ++id)
        f.open_session(id, "intake");
    auto const a = f.send(1, statement_verb::write);
    auto const b = f.send(2, statement_verb::write);
    f.now += 10ms;
    f.answer(a, {3, 8}, true);
    f.answer(b, {3, 9}, true);
    auto const first = f.send(1, statement_verb::write);
    f.now += 600ms;
    f.run();
    // One statement is sent as a trial of whether the primary answers again.
    f.it->push(statement_received{session_id{2}, statement_verb::write});
    f.run();
    CHECK(f.find<send_statement>().has_value());
    f.it->push(statement_received{session_id{3}, statement_verb::write});
    f.run();
    auto const refused = f.find<refuse>();
    REQUIRE(refused.has_value());
    CHECK(refused->outcome == refusal_outcome::not_run);
    CHECK(refused->reason == refusal_reason::server_silent);
    f.answer(first, {3, 10}, true);
    f.it->push(statement_received{session_id{4}, statement_verb::write});
    f.run();
    CHECK(f.find<send_statement>().has_value());
}

// Guards against reads that wait until their deadline for the position of a
// primary that has become unreachable, and against reads that are sent to it as
// trials.
TEST_CASE("a read without a recent position does not wait for a silent primary")
{
    fixture f(8);
    f.open_session(1, "intake");
    f.open_session(2, "lookup");
    f.open_session(3, "lookup");
    auto const first = f.send(1, statement_verb::write);
    f.now += 10ms;
    f.answer(first, {3, 9}, true);
    f.now += 3s;
    f.it->push(statement_received{session_id{2}, statement_verb::read});
    f.run();
    auto const query = f.find<query_position>();
    REQUIRE(query.has_value());
    f.now += 600ms;
    f.run();
    auto refused = f.find<refuse>();
    REQUIRE(refused.has_value());
    CHECK(refused->outcome == refusal_outcome::not_run);
    CHECK(refused->reason == refusal_reason::server_silent);
    f.now += 300ms;
    f.it->push(statement_received{session_id{3}, statement_verb::read});
    f.run();
    refused = f.find<refuse>();
    REQUIRE(refused.has_value());
    CHECK(refused->reason == refusal_reason::server_silent);
    CHECK_FALSE(f.find<send_statement>().has_value());
    // The answer to the query ends the silence.
    f.it->push(position_observed{query->connection, {3, 30}, true});
    f.run();
    CHECK(f.send(3, statement_verb::read).after == log_position{3, 30});
}

// Guards against reads that wait for the answer, or for a connection, of a
// server that has become unreachable, although another server can run them.
TEST_CASE("reads leave a server that has stopped answering")
{
    fixture f(1);
    auto view = make_view();
    view.revision = 2;
    view.servers.at(server_name("s1")).data_centre = data_centre_name("b");
    view.servers.at(server_name("s2")).data_centre = data_centre_name("a");
    f.adopt(view);
    f.open_session(1, "ledger");
    for (std::uint64_t id = 2; id != 5; ++id)
        f.open_session(id, "lookup");
    for (std::uint64_t n = 1; n != 20; ++n)
    {
        auto const sent = f.send(1, statement_verb::write);
        f.now += 10ms;
        f.answer(sent, {3, n}, true);
    }
    auto const sent = f.send(2, statement_verb::read);
    CHECK(f.server_of(sent) == "s1");
    f.it->push(statement_received{session_id{3}, statement_verb::read});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    f.now += 150ms;
    f.run();
    std::set<std::string> servers;
    std::vector<send_statement> reads;
    for (auto const& a : f.actions)
        if (auto const* it = std::get_if<send_statement>(&a))
        {
            reads.push_back(*it);
            servers.insert(f.server_of(*it));
        }
    REQUIRE(reads.size() == 2);
    CHECK_FALSE(servers.contains("s1"));
    CHECK_FALSE(f.find<server_reachability>().has_value());
    f.answer(reads.back(), {3, 20}, false);
    CHECK(f.server_of(f.send(4, statement_verb::read)) != "s1");
}

// Guards against a server that counts as silent although it is only slow, or
// although all daemons open connections to it after its start.
TEST_CASE("a slow server and one that has not answered yet are not silent")
{
    fixture f;
    f.open_session(1, "intake");
    f.open_session(2, "intake");
    auto sent = f.send(1, statement_verb::write);
    f.now += 700ms;
    f.run();
    CHECK_FALSE(f.find<server_reachability>().has_value());
    // The average answer takes more than 100 ms from now on, so the silence
    // limit is longer.
    for (int n = 0; n != 20; ++n)
    {
        f.answer(sent, {3, 10}, true);
        sent = f.send(1, statement_verb::write);
        f.now += 300ms;
    }
    f.now += 600ms;
    f.run();
    CHECK_FALSE(f.find<server_reachability>().has_value());
    f.now += 1s;
    f.run();
    CHECK(f.find<server_reachability>().has_value());
}

// Guards against statements that wait one after the other for a rate token and
// for a connection: where daemons are many, most statements need both, and an
// opening takes longer than most statements.
TEST_CASE("a connection is opened while a statement waits for a rate token")
{
    fixture f(2, true);
    f.open_session(1, "intake");
    f.it->push(statement_received{session_id{1}, statement_verb::write,
                                  transaction_opening::none});
    f.run();
    auto const open = f.find<open_connection>();
    REQUIRE(open);
    CHECK(open->server == server_name("s1"));
    CHECK(open->workspace == workspace_name("w"));
    CHECK(!f.find<send_statement>());
    // The statements that follow share the connection.
    f.open_session(2, "intake");
    f.it->push(statement_received{session_id{2}, statement_verb::write,
                                  transaction_opening::none});
    f.run();
    CHECK(!f.find<open_connection>());
    // The statements are refused, and the connection is not wanted for them any
    // more.
    f.now += 2s;
    f.run();
    CHECK(f.find<refuse>());
    auto const used = f.find<connections_used>();
    REQUIRE(used);
    CHECK(used->open == 1);
    CHECK(used->wanted == 0);
}

// Guards against a read that opens two connections one after the other: to the
// primary for its position, and then to the replica.
TEST_CASE("a read that waits for a position opens both of its connections")
{
    fixture f;
    f.open_session(1, "lookup");
    f.it->push(statement_received{session_id{1}, statement_verb::read,
                                  transaction_opening::none});
    f.run();
    std::set<std::string> servers;
    for (auto const& [id, open] : f.opened)
        servers.insert(open.server.str());
    CHECK(servers == std::set<std::string>{"s1", "s2"});
    auto const query = f.find<query_position>();
    REQUIRE(query);
    CHECK(f.opened.at(query->connection).server == server_name("s1"));
}

namespace
{

// The data centre of the primary, s1, is out of service.
control_view make_stopped_view(std::uint64_t revision, bool has_successor)
{
    auto view = make_view();
    view.revision = revision;
    auto& server = view.servers.at(server_name("s1"));
    server.is_leaving = true;
    server.is_out_of_service = true;
    view.groups.at(group_name("g")).is_out_of_service = !has_successor;
    return view;
}

} // namespace

// Guards against statements that wait until their deadline for a primary that
// cannot come.
TEST_CASE("without a successor, statements for the primary are refused at once")
{
    fixture f;
    for (std::uint64_t id = 1; id != 4; ++id)
        f.open_session(id, "intake");
    f.write(1, {3, 10});
    f.adopt(make_stopped_view(2, true));
    f.it->push(statement_received{session_id{1}, statement_verb::write});
    f.run();
    CHECK(f.actions.end() ==
          std::find_if(f.actions.begin(), f.actions.end(),
                       [](auto const& it)
                       { return std::holds_alternative<refuse>(it); }));
    auto const is_refused = [&f](std::uint64_t id)
    {
        auto const refused = f.find<refuse>();
        REQUIRE(refused.has_value());
        CHECK(refused->session == session_id{id});
        CHECK(refused->outcome == refusal_outcome::not_run);
        CHECK(refused->reason == refusal_reason::out_of_service);
        CHECK_FALSE(f.find<send_statement>().has_value());
    };
    // The replicas elsewhere are lost while the statement waits.
    f.adopt(make_stopped_view(3, false));
    is_refused(1);
    f.it->push(statement_received{session_id{2}, statement_verb::write});
    f.run();
    is_refused(2);
}

// Guards against a statement that waits until its deadline although the data
// centre of the primary is back in service.
TEST_CASE("a waiting statement runs when the data centre returns")
{
    fixture f;
    f.open_session(1, "intake");
    f.adopt(make_stopped_view(2, true));
    f.it->push(statement_received{session_id{1}, statement_verb::write});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    auto view = make_view();
    view.revision = 3;
    f.adopt(view);
    auto const sent = f.find<send_statement>();
    REQUIRE(sent.has_value());
    CHECK(f.server_of(*sent) == "s1");
}

// Guards against statements of long transactions that reach a server of a data
// centre that has been out of service for seconds.
TEST_CASE("transactions at a server out of service end after a grace time")
{
    fixture f(8);
    auto const begin = [&f](std::uint64_t id)
    {
        f.open_session(id, "intake");
        auto const sent =
            f.send(id, statement_verb::write, transaction_opening::read_write);
        f.answer(sent, {3, 10}, true, transaction_status::in_transaction);
        return sent.connection;
    };
    auto const idle = begin(1);
    begin(2);
    f.adopt(make_stopped_view(2, true));
    f.now += 2400ms;
    auto const busy = f.send(2, statement_verb::write);
    CHECK(f.server_of(busy) == "s1");
    f.now += 100ms;
    f.run();
    auto const aborted = f.find<abort_transaction>();
    REQUIRE(aborted.has_value());
    CHECK(aborted->session == session_id{1});
    auto const closed = f.find<close_connection>();
    REQUIRE(closed.has_value());
    CHECK(closed->connection == idle);
    // The statement in progress is answered; the next one is not sent.
    f.answer(busy, {3, 11}, true, transaction_status::in_transaction);
    CHECK(f.find<relay_answer>().has_value());
    f.it->push(statement_received{session_id{2}, statement_verb::write});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    auto const refused = f.find<refuse>();
    REQUIRE(refused.has_value());
    CHECK(refused->outcome == refusal_outcome::not_run);
    CHECK(refused->reason == refusal_reason::transaction_lost);
}

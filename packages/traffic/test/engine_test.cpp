#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

server_view server_at(char const* address)
{
    return {group_name("g"), data_centre_name("a"), address, false, false};
}

control_view make_view()
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    view.routes.emplace(route_name("ledger"), route);
    route.kind = rules::route_class::read;
    view.routes.emplace(route_name("lookup"), route);
    route.max_age = 15s;
    view.routes.emplace(route_name("aged"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    view.servers.emplace(server_name("s1"), server_at("127.0.0.1:1"));
    view.servers.emplace(server_name("s2"), server_at("127.0.0.1:2"));
    view.servers.emplace(server_name("s3"), server_at("127.0.0.1:3"));
    view.groups.emplace(group_name("g"), group_view{1, server_name("s1"), 3});
    return view;
}

// An engine with one group of three servers. Keeps the actions of the last run.
struct fixture
{
    fixture()
    {
        engine_settings settings;
        settings.data_centre = data_centre_name("a");
        settings.limits_enabled = false;
        it.emplace(settings);
        it->push(control_changed{std::make_shared<control_view>(make_view())});
        it->push(lease_changed{instant{3s}});
        run();
    }

    // Runs ticks until no more connections are opened. Each opening succeeds at
    // once.
    void run()
    {
        actions.clear();
        bool again = true;
        while (again)
        {
            again = false;
            for (auto const& a : it->tick(now))
            {
                actions.push_back(a);
                if (auto const* open = std::get_if<open_connection>(&a))
                {
                    opened.push_back(*open);
                    it->push(connection_opened{open->connection});
                    again = true;
                }
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

    void open_session(std::uint64_t id, char const* route)
    {
        session_opened event;
        event.session = session_id{id};
        event.route = route_name(route);
        event.workspace = workspace_name("w");
        event.key = key_digest{1};
        it->push(event);
    }

    // Sends a statement and returns the connection over which it is sent.
    connection_id send(std::uint64_t id, statement_verb verb)
    {
        it->push(statement_received{session_id{id}, verb});
        run();
        auto const sent = find<send_statement>();
        REQUIRE(sent.has_value());
        return sent->connection;
    }

    server_name server_of(connection_id id) const
    {
        for (auto const& o : opened)
            if (o.connection == id)
                return o.server;
        return {};
    }

    // Answers the positions queries that are sent within the poll interval.
    void answer_positions(log_position position)
    {
        std::vector<action> seen = actions;
        now += 1ms;
        run();
        seen.insert(seen.end(), actions.begin(), actions.end());
        for (auto const& a : seen)
            if (auto const* query = std::get_if<query_position>(&a))
                it->push(position_observed{query->connection, position});
        run();
    }

    instant now{};
    std::optional<engine> it;
    std::vector<action> actions;
    std::vector<open_connection> opened;
};

} // namespace

TEST_CASE("a write is acknowledged only once a majority has replicated it")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const connection = f.send(1, statement_verb::other);
    CHECK(f.server_of(connection) == server_name("s1"));
    f.it->push(answer_received{connection, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    CHECK_FALSE(f.find<relay_answer>().has_value());
    f.answer_positions({1, 9});
    CHECK_FALSE(f.find<relay_answer>().has_value());
    f.answer_positions({1, 10});
    REQUIRE(f.find<relay_answer>().has_value());
    CHECK(f.find<relay_answer>()->position ==
          group_position{group_name("g"), {1, 10}});
}

TEST_CASE("a write whose primary is superseded is never acknowledged")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const connection = f.send(1, statement_verb::other);
    auto view = make_view();
    view.revision = 2;
    view.groups[group_name("g")].primary.reset();
    f.it->push(control_changed{std::make_shared<control_view>(view)});
    f.run();
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
    f.it->push(answer_received{connection, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    CHECK_FALSE(f.find<relay_answer>().has_value());
}

TEST_CASE("a write answered after the end of the lease is not acknowledged")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const connection = f.send(1, statement_verb::other);
    f.now = instant{3s};
    f.it->push(answer_received{connection, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
}

TEST_CASE("a read never runs at a replica behind its session")
{
    fixture f;
    f.open_session(1, "lookup");
    f.it->push(
        session_token_presented{session_id{1}, {{group_name("g"), {1, 10}}}});
    f.it->push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    CHECK_FALSE(f.find<send_statement>().has_value());
    // Both replicas answer that they are behind; the read goes to the primary.
    f.answer_positions({1, 9});
    CHECK_FALSE(f.find<send_statement>().has_value());
    f.now += 2ms;
    f.run();
    auto const sent = f.find<send_statement>();
    REQUIRE(sent.has_value());
    CHECK(f.server_of(sent->connection) == server_name("s1"));
}

TEST_CASE("a transaction keeps its connection and no other session uses it")
{
    fixture f;
    f.open_session(1, "ledger");
    f.open_session(2, "ledger");
    auto const first = f.send(1, statement_verb::begin_read_write);
    f.it->push(answer_received{first, false, transaction_status::in_transaction,
                               std::nullopt});
    f.run();
    CHECK(f.find<relay_answer>().has_value());
    auto const second = f.send(2, statement_verb::other);
    CHECK(first != second);
    CHECK(f.send(1, statement_verb::other) == first);
}

TEST_CASE("a lost transaction is reported and never continued")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const first = f.send(1, statement_verb::begin_read_write);
    f.it->push(answer_received{first, false, transaction_status::in_transaction,
                               std::nullopt});
    f.run();
    f.it->push(connection_failed{first});
    f.run();
    REQUIRE(f.find<end_session>().has_value());
    CHECK(f.find<end_session>()->reason == refusal_reason::transaction_lost);
}

TEST_CASE("a withdrawn key ends the sessions that use it")
{
    fixture f;
    f.open_session(1, "ledger");
    f.run();
    auto view = make_view();
    view.revision = 2;
    view.keys.clear();
    f.it->push(control_changed{std::make_shared<control_view>(view)});
    f.run();
    REQUIRE(f.find<end_session>().has_value());
    CHECK(f.find<end_session>()->reason == refusal_reason::key_withdrawn);
}

TEST_CASE("a connection with an outstanding answer closes with its session")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const connection = f.send(1, statement_verb::other);
    f.it->push(session_closed{session_id{1}});
    f.run();
    REQUIRE(f.find<close_connection>().has_value());
    CHECK(f.find<close_connection>()->connection == connection);
}

TEST_CASE("an older control view is not adopted")
{
    fixture f;
    auto view = make_view();
    view.revision = 0;
    f.it->push(control_changed{std::make_shared<control_view>(view)});
    f.run();
    CHECK_FALSE(f.find<control_view_adopted>().has_value());
}

// Guards against the outcome "not run" for a read that was sent over a
// connection before that connection was lost.
TEST_CASE("a read that was sent once is not refused as not run")
{
    fixture f;
    f.open_session(1, "lookup");
    auto const connection = f.send(1, statement_verb::other);
    auto view = make_view();
    view.revision = 2;
    view.groups[group_name("g")].primary.reset();
    f.it->push(control_changed{std::make_shared<control_view>(view)});
    f.it->push(connection_failed{connection});
    f.run();
    f.now += 6s;
    f.run();
    REQUIRE(f.find<refuse>().has_value());
    CHECK(f.find<refuse>()->outcome == refusal_outcome::unknown);
}

// Guards against a statement of a lost transaction that runs outside it: the
// connection fails while the next statement is on its way to the engine.
TEST_CASE("a statement received after the loss of its transaction does not run")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const first = f.send(1, statement_verb::begin_read_write);
    f.it->push(answer_received{first, false, transaction_status::in_transaction,
                               std::nullopt});
    f.run();
    f.it->push(connection_failed{first});
    f.it->push(statement_received{session_id{1}, statement_verb::commit});
    f.run();
    CHECK(f.find<end_session>().has_value());
    CHECK_FALSE(f.find<send_statement>().has_value());
}

// As above, but the statement is received before the loss, in the same tick.
TEST_CASE("a statement received before the loss of its transaction does not "
          "run")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const first = f.send(1, statement_verb::begin_read_write);
    f.it->push(answer_received{first, false, transaction_status::in_transaction,
                               std::nullopt});
    f.run();
    f.it->push(statement_received{session_id{1}, statement_verb::commit});
    f.it->push(connection_failed{first});
    f.run();
    CHECK(f.find<refuse>().has_value());
    CHECK_FALSE(f.find<send_statement>().has_value());
}

// Guards against a held answer that is never released, because its write was
// replicated while there was no control lease.
TEST_CASE("an answer replicated without a lease is relayed with the next lease")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const connection = f.send(1, statement_verb::other);
    f.it->push(answer_received{connection, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    f.it->push(lease_changed{instant{}});
    f.answer_positions({1, 10});
    CHECK_FALSE(f.find<relay_answer>().has_value());
    f.it->push(lease_changed{instant{6s}});
    f.run();
    CHECK(f.find<relay_answer>().has_value());
}

// Guards against a session whose position advances with each read at the
// primary, so that no replica ever qualifies for its reads.
TEST_CASE("a read at the primary does not change its session's position")
{
    fixture f;
    f.open_session(1, "lookup");
    auto const connection = f.send(1, statement_verb::other);
    f.it->push(answer_received{connection, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    CHECK(f.find<relay_answer>()->position ==
          group_position{group_name("g"), {1, 10}});
    // No replica qualifies within the wait.
    f.it->push(statement_received{session_id{1}, statement_verb::other});
    f.run();
    f.now += 2ms;
    f.run();
    REQUIRE(f.find<send_statement>().has_value());
    f.it->push(answer_received{f.find<send_statement>()->connection, false,
                               transaction_status::idle, log_position{1, 20}});
    f.run();
    REQUIRE(f.find<relay_answer>().has_value());
    CHECK_FALSE(f.find<relay_answer>()->position.has_value());
}

// Guards against replicas that are not polled again after a promotion: they
// would never be known to be in the new term and serve no reads.
TEST_CASE("a waiting read polls replicas for a position of the new term")
{
    fixture f;
    f.open_session(1, "ledger");
    auto const write = f.send(1, statement_verb::other);
    f.it->push(answer_received{write, false, transaction_status::idle,
                               log_position{1, 10}});
    f.run();
    f.answer_positions({1, 10});
    auto view = make_view();
    view.revision = 2;
    view.groups[group_name("g")].term = 2;
    f.it->push(control_changed{std::make_shared<control_view>(view)});
    f.open_session(2, "lookup");
    f.it->push(
        session_token_presented{session_id{2}, {{group_name("g"), {1, 10}}}});
    f.it->push(statement_received{session_id{2}, statement_verb::other});
    f.run();
    f.now += 1ms;
    f.run();
    CHECK(f.find<query_position>().has_value());
}

// Guards against a maximum age that only very recent replicas satisfy, because
// many answers have displaced the older samples of the primary's position.
TEST_CASE("a replica within the maximum age serves after many answers")
{
    fixture f;
    f.open_session(1, "aged");
    f.it->push(
        session_token_presented{session_id{1}, {{group_name("g"), {1, 500}}}});
    // Each session without a position reads at the primary.
    for (std::uint64_t n = 2; n != 1000; ++n)
    {
        f.now += 10ms;
        f.it->push(lease_changed{f.now + 3s});
        f.open_session(n, "lookup");
        auto const connection = f.send(n, statement_verb::other);
        f.it->push(answer_received{connection, false, transaction_status::idle,
                                   log_position{1, n}});
        f.run();
        if (n != 500)
            continue;
        f.it->push(statement_received{session_id{1}, statement_verb::other});
        f.run();
        // The next tick, due at once, opens connections to the replicas.
        f.run();
        f.answer_positions({1, 500});
        f.it->push(session_closed{session_id{1}});
    }
    f.open_session(1, "aged");
    f.it->push(
        session_token_presented{session_id{1}, {{group_name("g"), {1, 500}}}});
    CHECK(f.server_of(f.send(1, statement_verb::other)) != server_name("s1"));
}

// Guards against a connection share that is ignored because it arrives in the
// same tick as the first view of its server: the daemon then opens no
// connection until the share changes again.
TEST_CASE("a connection share takes effect in the tick of its server's view")
{
    engine_settings settings;
    settings.limits_enabled = false;
    settings.initial_connections = 0;
    engine it(settings);
    it.push(control_changed{std::make_shared<control_view>(make_view())});
    it.push(connection_share_changed{server_name("s1"), 1, false});
    it.push(lease_changed{instant{3s}});
    session_opened session;
    session.session = session_id{1};
    session.route = route_name("ledger");
    session.workspace = workspace_name("w");
    session.key = key_digest{1};
    it.push(session);
    it.push(statement_received{session_id{1}, statement_verb::other});
    auto const actions = it.tick(instant{});
    CHECK(std::any_of(actions.begin(), actions.end(),
                      [](action const& a)
                      { return std::holds_alternative<open_connection>(a); }));
}

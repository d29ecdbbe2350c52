// Statements that run at the daemons that hold their workspaces: the sender's
// and the holder's decisions.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

control_view make_view()
{
    control_view view;
    view.revision = 5;
    rules::route_rule route;
    route.group = group_name("g");
    route.timeout = 2s;
    route.reads = rules::read_guarantee::latest;
    view.routes.emplace(route_name("intake"), route);
    route.max_age = 1500ms;
    route.reads = rules::read_guarantee::bounded_age;
    view.routes.emplace(route_name("lookup"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    view.workspaces.insert(workspace_name("w"));
    view.workspace_rules.emplace(workspace_name("w"),
                                 rules::workspace_rule{10, 10});
    auto const add_site = [&view](char const* name)
    {
        data_centre_name const data_centre(name);
        std::string const text(name);
        view.servers.emplace(server_name("s-" + text),
                             server_view{group_name("g"), data_centre,
                                         "127.0.0.1:1", false, false});
        view.members.emplace(daemon_name("h-" + text),
                             dispatch::member{data_centre, "127.0.0.1:2"});
    };
    add_site("a");
    add_site("b");
    add_site("c");
    group_view group{1, server_name("s-a"), 3};
    group.checked_by = rules::position_check::server;
    view.groups.emplace(group_name("g"), group);
    return view;
}

// A daemon in data centre b that is no member, so that every statement belongs
// to another daemon.
struct fixture
{
    explicit fixture(
        bool has_limits = false,
        dispatch::dispatch_mode mode = dispatch::dispatch_mode::holders)
    {
        settings.data_centre = data_centre_name("b");
        settings.limits_enabled = has_limits;
        settings.serves_without_lease = true;
        settings.initial_connections = 2;
        settings.dispatch = mode;
        settings.self = daemon_name("h-self");
        settings.holder = daemon_name("thread-0");
        settings.forward_limit = 2;
        settings.retry_budget_limit = 1;
    }

    void start()
    {
        it.emplace(settings);
        adopt(make_view());
        for (std::uint64_t id = 1; id != 4; ++id)
            open_session(id, "intake");
        open_session(11, "lookup");
        open_session(12, "lookup");
        run();
    }

    void adopt(control_view const& view)
    {
        it->push(control_changed{std::make_shared<control_view>(view)});
        run();
    }

    // Connections to servers open at once.
    void run()
    {
        actions.clear();
        for (bool again = true; std::exchange(again, false);)
            for (auto const& a : it->tick(now))
            {
                actions.push_back(a);
                auto const* open = std::get_if<open_connection>(&a);
                if (open == nullptr)
                    continue;
                opened.insert_or_assign(open->connection, *open);
                again = true;
                if (!open->holder)
                    it->push(connection_opened{open->connection});
            }
    }

    void advance(duration time)
    {
        now += time;
        run();
    }

    template <class Event>
    void handle(Event const& event)
    {
        it->push(event);
        run();
    }

    template <class Action>
    std::optional<Action> find() const
    {
        for (auto const& a : actions)
            if (auto const* found = std::get_if<Action>(&a))
                return *found;
        return std::nullopt;
    }

    void
    open_session(std::uint64_t id, char const* route, bool is_forwarded = false)
    {
        session_opened event;
        event.session = session_id{id};
        event.route = route_name(route);
        event.workspace = workspace_name("w");
        event.key = key_digest{1};
        event.is_forwarded = is_forwarded;
        it->push(event);
    }

    std::optional<send_statement>
    submit(std::uint64_t id,
           statement_verb verb = statement_verb::write,
           transaction_opening opens = transaction_opening::none,
           std::optional<statement_origin> const& origin = {})
    {
        handle(statement_received{session_id{id}, verb, opens, origin});
        return find<send_statement>();
    }

    // Returns the name of the server or holder to which a statement was sent.
    std::string target(std::optional<send_statement> const& sent) const
    {
        return sent ? opened.at(sent->connection).server.str() : "none";
    }

    std::string target() const
    {
        return target(find<send_statement>());
    }

    void answer(std::optional<send_statement> const& to,
                transaction_status status = transaction_status::idle)
    {
        REQUIRE(to);
        handle(answer_received{to->connection, false, status,
                               log_position{1, 10}});
    }

    void refuse_at_holder(std::optional<send_statement> const& to,
                          refusal_reason reason,
                          refusal_outcome outcome = refusal_outcome::not_run)
    {
        REQUIRE(to);
        forward_refused event;
        event.connection = to->connection;
        event.reason = reason;
        event.outcome = outcome;
        handle(event);
    }

    void fail_delivery(std::optional<send_statement> const& to)
    {
        REQUIRE(to);
        forward_refused event;
        event.connection = to->connection;
        event.is_undelivered = true;
        handle(event);
    }

    // The outcome and reason of a refusal, as numbers.
    std::optional<std::pair<refusal_outcome, refusal_reason>> refusal() const
    {
        auto const refused = find<refuse>();
        if (!refused)
            return std::nullopt;
        return std::pair(refused->outcome, refused->reason);
    }

    [[nodiscard]] bool closes(std::optional<send_statement> const& sent) const
    {
        for (auto const& a : actions)
            if (auto const* close = std::get_if<close_connection>(&a))
                if (close->connection == sent->connection)
                    return true;
        return false;
    }

    engine_settings settings;
    instant now{1h};
    std::optional<engine> it;
    std::vector<action> actions;
    std::map<connection_id, open_connection> opened;
};

auto const not_run = refusal_outcome::not_run;
auto const unknown = refusal_outcome::unknown;

statement_origin origin_of(std::uint64_t revision)
{
    return {revision, group_name("g"), 800ms, 5ms};
}

} // namespace

// Guards against statements that run far from their server, and against a
// change for deployments that do not use holders.
TEST_CASE("a statement goes to the holder in the data centre of its server")
{
    fixture f;
    f.start();
    auto const write = f.submit(1);
    CHECK(f.target(write) == "h-a");
    CHECK(write->forwarding->group == group_name("g"));
    CHECK(write->forwarding->revision == 5);
    f.answer(write);
    CHECK(f.find<relay_answer>()->position ==
          group_position{group_name("g"), {1, 10}});
    CHECK(f.closes(write));
    CHECK(f.target(f.submit(1, statement_verb::read)) == "h-a");
    CHECK(f.target(f.submit(11, statement_verb::read)) == "h-b");
    auto view = make_view();
    view.revision = 6;
    view.servers.at(server_name("s-b")).is_leaving = true;
    f.adopt(view);
    CHECK(f.target(f.submit(12, statement_verb::read)) == "h-a");

    fixture local(false, dispatch::dispatch_mode::local);
    local.start();
    CHECK(local.target(local.submit(1)) == "s-a");
}

// Guards against statements that cross two hops or circulate.
TEST_CASE("a forwarded session's statements run here")
{
    fixture f;
    f.start();
    f.open_session(21, "intake", true);
    CHECK(f.target(f.submit(21, statement_verb::write,
                            transaction_opening::none, origin_of(5))) == "s-a");
}

// Guards against a rate token that is taken twice for one statement.
TEST_CASE("the sender takes no rate token for what it forwards")
{
    fixture f(true);
    f.start();
    CHECK(f.target(f.submit(1)) == "h-a");
    fixture local(true, dispatch::dispatch_mode::local);
    local.start();
    CHECK_FALSE(local.submit(1));
}

// Guards against statements that wait for a primary with a token of the wrong
// daemon, and run where nobody has connections once there is one.
TEST_CASE("a statement chooses its holder once there is a primary")
{
    fixture f(true);
    f.start();
    auto view = make_view();
    view.revision = 6;
    view.groups.at(group_name("g")).primary.reset();
    f.adopt(view);
    CHECK_FALSE(f.submit(1));
    view.revision = 7;
    view.groups.at(group_name("g")).primary = server_name("s-c");
    view.groups.at(group_name("g")).term = 2;
    f.adopt(view);
    CHECK(f.target() == "h-c");
}

// Rule 1. Guards against a statement that is refused although it cannot have
// run, and against a write that runs twice.
TEST_CASE("a statement that did not reach the holder runs here")
{
    fixture f;
    f.start();
    f.fail_delivery(f.submit(1));
    CHECK_FALSE(f.refusal());
    auto const sent = f.find<send_statement>();
    CHECK(f.target(sent) == "s-a");
    f.answer(sent);
    CHECK(f.find<relay_answer>());
    CHECK(f.it->counts().local_after_undelivered == 1);
}

TEST_CASE("a write that was sent when the link ended is unknown")
{
    fixture f;
    f.start();
    f.handle(connection_failed{f.submit(1)->connection});
    CHECK(f.refusal() == std::pair(unknown, refusal_reason::connection_lost));
    CHECK(f.target() == "none");
}

TEST_CASE("reads of an ended link are retried within the retry budget")
{
    fixture f;
    f.start();
    auto const first = f.submit(11, statement_verb::read);
    auto const second = f.submit(12, statement_verb::read);
    f.handle(connection_failed{first->connection});
    CHECK_FALSE(f.refusal());
    CHECK(f.it->counts().local_after_loss == 1);
    CHECK(f.target() != "h-b");
    f.handle(connection_failed{second->connection});
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::connection_lost));
}

TEST_CASE("a transaction is lost with its link")
{
    fixture f;
    f.start();
    auto const first =
        f.submit(1, statement_verb::write, transaction_opening::read_write);
    f.answer(first, transaction_status::in_transaction);
    f.handle(connection_failed{first->connection});
    CHECK(f.find<abort_transaction>());
    // Its commit must not run in a transaction of its own.
    CHECK_FALSE(
        f.submit(1, statement_verb::commit, transaction_opening::opened));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::transaction_lost));

    auto const second =
        f.submit(2, statement_verb::write, transaction_opening::read_write);
    f.answer(second, transaction_status::in_transaction);
    auto const commit =
        f.submit(2, statement_verb::commit, transaction_opening::opened);
    CHECK(commit->connection == second->connection);
    CHECK(commit->forwarding->opens == transaction_opening::opened);
    f.handle(connection_failed{commit->connection});
    CHECK(f.refusal() == std::pair(unknown, refusal_reason::transaction_lost));
}

// A statement of an open transaction cannot run here, even if it did not reach
// the holder.
TEST_CASE("an undelivered statement of a transaction loses the transaction")
{
    fixture f;
    f.start();
    auto const first =
        f.submit(1, statement_verb::write, transaction_opening::read_write);
    f.answer(first, transaction_status::in_transaction);
    f.fail_delivery(
        f.submit(1, statement_verb::commit, transaction_opening::opened));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::transaction_lost));
    CHECK(f.closes(first));
    CHECK(f.target() == "none");
}

// Rule 2. Guards against the answer of an earlier attempt that is relayed as
// the answer to a later statement.
TEST_CASE("an answer that comes after its statement was given up is dropped")
{
    fixture f;
    f.start();
    auto const sent = f.submit(1);
    f.advance(2s);
    CHECK(f.refusal() == std::pair(unknown, refusal_reason::deadline));
    auto const next = f.submit(1);
    f.answer(sent);
    CHECK_FALSE(f.find<relay_answer>());
    f.refuse_at_holder(sent, refusal_reason::deadline);
    CHECK_FALSE(f.refusal());
    f.answer(next);
    CHECK(f.find<relay_answer>());
}

// Rule 3.
TEST_CASE("a statement that the holder cannot take runs here, once")
{
    for (auto const reason : {refusal_reason::draining,
                              refusal_reason::no_lease, refusal_reason::behind})
    {
        fixture f;
        f.start();
        f.refuse_at_holder(f.submit(1), reason);
        CHECK_FALSE(f.refusal());
        CHECK(f.target() == "s-a");
        CHECK(f.it->counts().local_after_rejection == 1);
    }
}

TEST_CASE("other refusals of a holder go to the client")
{
    fixture f;
    f.start();
    f.refuse_at_holder(f.submit(1), refusal_reason::queue_full);
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::queue_full));
    f.refuse_at_holder(f.submit(1), refusal_reason::draining, unknown);
    CHECK(f.refusal() == std::pair(unknown, refusal_reason::draining));
    auto const first =
        f.submit(2, statement_verb::write, transaction_opening::read_write);
    f.answer(first, transaction_status::in_transaction);
    f.refuse_at_holder(
        f.submit(2, statement_verb::write, transaction_opening::opened),
        refusal_reason::draining);
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::transaction_lost));
}

// A holder that stops answers its last statements and must not be taken for one
// that accepts new ones.
TEST_CASE("no statement is sent to a holder that has begun a planned stop")
{
    fixture f;
    f.start();
    auto const first = f.submit(1);
    f.handle(holder_failed{daemon_name("h-a"), true});
    f.answer(first);
    CHECK(f.target(f.submit(1)) == "s-a");
}

// Rule 4. Guards against a read that waits for a holder that does not answer.
TEST_CASE("a read without an answer is tried here and ended at the holder")
{
    fixture f;
    f.start();
    auto const sent = f.submit(11, statement_verb::read);
    f.advance(f.settings.read_try_timeout);
    CHECK(f.closes(sent));
    CHECK(f.target() != "h-b");
    CHECK_FALSE(f.refusal());
}

// Guards against waiting for a holder that is known to be silent, and against
// an unknown outcome of a write that it still answers.
TEST_CASE("reads at a silent holder are retried here, writes stay")
{
    fixture f;
    f.start();
    auto const read = f.submit(1, statement_verb::read);
    auto const write = f.submit(2);
    f.advance(100ms);
    CHECK(f.find<probe_holder>() == probe_holder{daemon_name("h-a")});
    f.advance(150ms);
    CHECK(f.closes(read));
    CHECK_FALSE(f.closes(write));
    CHECK(f.target(f.submit(3)) == "s-a");
    f.answer(write);
    CHECK(f.find<relay_answer>());
}

TEST_CASE("a holder that answers a probe is not silent")
{
    fixture f;
    f.start();
    auto const read = f.submit(1, statement_verb::read);
    f.advance(100ms);
    f.handle(holder_answered{daemon_name("h-a")});
    f.advance(150ms);
    CHECK_FALSE(f.closes(read));
}

// Rule 5. Guards against statements and transactions that stay at the holder.
TEST_CASE("what a client leaves behind is ended at the holder")
{
    fixture f;
    f.start();
    auto const statement = f.submit(1);
    f.handle(session_closed{session_id{1}});
    CHECK(f.closes(statement));

    auto const first =
        f.submit(2, statement_verb::write, transaction_opening::read_write);
    f.answer(first, transaction_status::in_transaction);
    CHECK_FALSE(f.closes(first));
    auto view = make_view();
    view.revision = 6;
    view.keys.clear();
    f.adopt(view);
    CHECK(f.closes(first));
}

TEST_CASE("a planned stop of the sender ends its transactions at the holder")
{
    fixture f;
    f.start();
    auto const first =
        f.submit(1, statement_verb::write, transaction_opening::read_write);
    f.answer(first, transaction_status::in_transaction);
    f.handle(drain_advanced{drain_stage::sessions});
    CHECK_FALSE(f.closes(first));
    f.handle(drain_advanced{drain_stage::transactions});
    CHECK_FALSE(
        f.submit(1, statement_verb::write, transaction_opening::opened));
    CHECK(f.closes(first));
}

// Rule 6. Guards against statements that a stop cuts.
TEST_CASE("a stopping holder finishes what it has and takes nothing new")
{
    fixture f;
    f.start();
    f.open_session(21, "intake", true);
    f.open_session(22, "intake", true);
    auto const running = f.submit(21, statement_verb::write,
                                  transaction_opening::none, origin_of(5));
    auto const first = f.submit(22, statement_verb::write,
                                transaction_opening::read_write, origin_of(5));
    f.answer(first, transaction_status::in_transaction);
    f.handle(drain_advanced{drain_stage::sessions});
    f.open_session(23, "intake", true);
    CHECK_FALSE(f.submit(23, statement_verb::write, transaction_opening::none,
                         origin_of(5)));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::draining));
    auto const commit = f.submit(22, statement_verb::commit,
                                 transaction_opening::opened, origin_of(5));
    f.answer(commit);
    CHECK(f.find<relay_answer>());
    f.answer(running);
    CHECK(f.find<relay_answer>());
}

// Guards against a holder that decides by rules which the sender knows to be
// outdated, or by a position in the log of another group.
TEST_CASE("a holder rejects what its control view may not know")
{
    fixture f;
    f.start();
    f.open_session(21, "intake", true);
    CHECK_FALSE(f.submit(21, statement_verb::write, transaction_opening::none,
                         origin_of(6)));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::behind));
    auto moved = origin_of(5);
    moved.group = group_name("h");
    CHECK_FALSE(
        f.submit(21, statement_verb::write, transaction_opening::none, moved));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::behind));
}

// Guards against a forwarded statement that waits for the holder's lease while
// its sender has one.
TEST_CASE("a holder without a lease rejects forwarded statements at once")
{
    fixture f;
    f.settings.serves_without_lease = false;
    f.start();
    f.open_session(21, "intake", true);
    CHECK_FALSE(f.submit(21, statement_verb::write, transaction_opening::none,
                         origin_of(5)));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::no_lease));
}

// Guards against an outcome that is unknown at the sender because the refusal
// by deadline arrives after its own deadline.
TEST_CASE("a holder has less time than the sender")
{
    fixture f;
    f.start();
    f.now += 3ms;
    auto const sent = f.submit(1);
    CHECK(sent->forwarding->time_left < 2s);
    f.open_session(21, "intake", true);
    auto origin = origin_of(5);
    origin.time_left = 100ms;
    f.submit(21, statement_verb::write, transaction_opening::none, origin);
    f.advance(100ms);
    CHECK(f.find<refuse>()->session == session_id{21});
}

// Rule 7. Guards against unbounded work at one holder.
TEST_CASE("statements beyond the limit of a holder run here")
{
    fixture f;
    f.start();
    CHECK(f.target(f.submit(1)) == "h-a");
    auto const second = f.submit(2);
    CHECK(f.target(second) == "h-a");
    CHECK(f.target(f.submit(3)) == "s-a");
    CHECK(f.it->counts().local_above_limit == 1);
    f.answer(second);
    CHECK(f.target(f.submit(2)) == "h-a");
}

// Guards against statements that are forwarded only to be refused.
TEST_CASE("a workspace above its rate is refused by the sender for a while")
{
    fixture f;
    f.start();
    auto const sent = f.submit(1);
    forward_refused event;
    event.connection = sent->connection;
    event.reason = refusal_reason::rate_exceeded;
    event.retry_after = 40ms;
    f.handle(event);
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::rate_exceeded));
    CHECK_FALSE(f.submit(1));
    CHECK(f.refusal() == std::pair(not_run, refusal_reason::rate_exceeded));
    f.advance(40ms);
    CHECK(f.target(f.submit(1)) == "h-a");
}

TEST_CASE("a holder states how long it certainly has no rate token")
{
    fixture f(true);
    f.settings.token_wait = 100ms;
    f.start();
    for (std::uint64_t id = 21; id != 24; ++id)
    {
        f.open_session(id, "intake", true);
        f.submit(id, statement_verb::write, transaction_opening::none,
                 origin_of(5));
    }
    f.it->push(lease_changed{f.now + 1h});
    limits::token_grant grant;
    grant.workspace = workspace_name("w");
    grant.holder = f.settings.holder;
    grant.incarnation = 1;
    grant.id = {1, 1};
    grant.is_used_up = true;
    f.it->push(grant);
    f.advance(100ms);
    // Two others wait, which takes 200 ms at 10 statements per second; a
    // further statement would wait for 100 ms at most.
    CHECK(f.find<refuse>()->reason == refusal_reason::rate_exceeded);
    CHECK(f.find<refuse>()->rate_wait == 100ms);
}

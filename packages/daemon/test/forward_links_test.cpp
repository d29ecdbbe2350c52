// Two daemons' forward_links over loopback, in one event loop.
#include <basilreach/daemon/forward_links.hpp>

#include <doctest/doctest.h>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>

#include <basilreach/messages/codec.hpp>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

std::string free_address()
{
    ACE_INET_Addr address;
    ACE_SOCK_Acceptor any(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
    REQUIRE(any.get_local_addr(address) == 0);
    any.close();
    return "127.0.0.1:" + std::to_string(address.get_port_number());
}

// What a daemon's traffic thread was told by its links.
struct test_daemon
{
    explicit test_daemon(event_loop& loop) : links(loop, make_owner())
    {
        client_calls.closed = [this](client_connection& it)
        {
            closed.push_back(it.session());
        };
    }

    forward_owner make_owner()
    {
        forward_owner out;
        out.opened = [this](std::unique_ptr<forwarded_client> it)
        {
            it->attach(client_calls);
            it->start_session(clients.size() + 100);
            clients.push_back(std::move(it));
        };
        out.submitted = [this](forwarded_client&, forwarded_statement const& it)
        {
            statements.push_back(it);
        };
        out.push = [this](traffic::event it)
        {
            events.push_back(std::move(it));
        };
        return out;
    }

    client_owner client_calls;
    std::vector<std::unique_ptr<forwarded_client>> clients;
    std::vector<forwarded_statement> statements;
    std::vector<traffic::event> events;
    std::vector<std::uint64_t> closed;
    forward_links links;
};

// A connection of the sender to the holder, for one session.
struct test_connection
{
    test_connection(test_daemon& sender, std::string const& address)
    {
        server_observer observer;
        observer.answered = [this](server_answer it)
        {
            answers.push_back(std::move(it));
        };
        observer.refused = [this](traffic::forward_refused it)
        {
            refusals.push_back(it);
        };
        observer.lost = [this]
        {
            is_lost = true;
        };
        connection = sender.links.make_connection(std::move(observer));
        traffic::open_connection target;
        target.address = address;
        target.holder = daemon_name("h");
        connection->open(target);
    }

    std::unique_ptr<server_connection> connection;
    std::vector<server_answer> answers;
    std::vector<traffic::forward_refused> refusals;
    bool is_lost = false;
};

struct fixture
{
    fixture() : address(free_address()), sender(loop), holder(loop)
    {
        REQUIRE(holder.links.listen(address));
        client.emplace(7, forwarded_statement{}, forwarded_client::callbacks{});
        client->start_session(7);
    }

    // Sends a statement of session 7.
    void send(
        test_connection& to,
        std::uint64_t request,
        std::string const& text = "READ k",
        traffic::transaction_opening opens = traffic::transaction_opening::none)
    {
        forwarded_statement statement;
        statement.command = {"id", command_kind::read, text, {}, {}};
        statement.variables.values["zone"] = "north";
        client->begin(request, statement);
        send_options options;
        options.forwarding.emplace();
        options.forwarding->request = request;
        options.forwarding->opens = opens;
        to.connection->send(*client, options);
    }

    bool run_until(std::function<bool()> const& condition)
    {
        auto const end = read_clock() + 5s;
        while (!condition())
        {
            if (read_clock() > end)
                return false;
            sender.links.tick(read_clock());
            holder.links.tick(read_clock());
            loop.run_once(read_clock() + 5ms);
        }
        return true;
    }

    void answer(
        std::size_t n,
        std::string const& row,
        traffic::transaction_status status = traffic::transaction_status::idle)
    {
        auto it = std::make_unique<line_answer>();
        it->rows.push_back({row});
        it->outcome = complete_message{"proof"};
        it->ready = {status, log_position{1, 2}};
        holder.clients.at(n)->store_answer(std::move(it));
        holder.clients.at(n)->relay(std::nullopt);
    }

    event_loop loop;
    std::string address;
    test_daemon sender;
    test_daemon holder;
    std::optional<forwarded_client> client;
};

} // namespace

TEST_CASE("a forwarded statement and its answer arrive complete")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    auto const& statement = f.holder.statements.front();
    CHECK(statement.command.text == "READ k");
    CHECK(statement.command.id == "id");
    CHECK(statement.variables.values.at("zone") == "north");
    CHECK(statement.identity.is_forwarded);
    f.answer(0, "v");
    REQUIRE(f.run_until([&] { return one.answers.size() == 1; }));
    CHECK(one.answers.front().summary.position == log_position{1, 2});
    // The session ends at the holder with its statement.
    CHECK(f.holder.closed.size() == 1);
}

// Rule 1. Guards against a statement that is refused or unknown although the
// holder cannot have received it.
TEST_CASE("a statement is undelivered if the link cannot be opened")
{
    fixture f;
    test_connection one(f.sender, free_address());
    f.send(one, 3);
    REQUIRE(f.run_until([&] { return !one.refusals.empty(); }));
    CHECK(one.refusals.front().is_undelivered);
    CHECK_FALSE(one.is_lost);
    CHECK(f.sender.events.size() == 1);
}

// Guards against a second execution of a statement that the holder has.
TEST_CASE("a statement that the holder received is lost with its link")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    f.holder.links.close();
    REQUIRE(f.run_until([&] { return one.is_lost; }));
    CHECK(one.refusals.empty());
}

// Rule 2. Guards against an answer that is relayed to another statement.
TEST_CASE("an answer to an earlier statement of the session is dropped")
{
    fixture f;
    test_connection first(f.sender, f.address);
    f.send(first, 3);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    // The sender gives the statement up while its answer is on its way.
    f.answer(0, "late");
    first.connection->close();
    test_connection second(f.sender, f.address);
    f.send(second, 4, "READ other");
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 2; }));
    CHECK(second.answers.empty());
    f.answer(1, "right");
    REQUIRE(f.run_until([&] { return second.answers.size() == 1; }));
    auto const& rows =
        static_cast<line_answer const&>(*second.answers.front().payload).rows;
    CHECK(rows.front().text == "right");
    CHECK(first.answers.empty());
}

// Rule 5. Guards against transactions that stay open at the holder.
TEST_CASE("the end of a connection ends its session at the holder")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3, "READ k", traffic::transaction_opening::read_write);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    f.answer(0, "v", traffic::transaction_status::in_transaction);
    REQUIRE(f.run_until([&] { return one.answers.size() == 1; }));
    CHECK(f.holder.closed.empty());
    one.connection->close();
    CHECK(f.run_until([&] { return f.holder.closed.size() == 1; }));
}

TEST_CASE("the sender is told of a transaction that the holder has lost")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3, "READ k", traffic::transaction_opening::read_write);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    f.answer(0, "v", traffic::transaction_status::in_transaction);
    REQUIRE(f.run_until([&] { return one.answers.size() == 1; }));
    f.holder.clients.front()->abort_transaction();
    CHECK(f.run_until([&] { return one.is_lost; }));
}

// Rule 6. Guards against statements on their way to a daemon that ends.
TEST_CASE("a stopping holder waits until its links are closed")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    f.holder.links.begin_stop(read_clock());
    REQUIRE(f.run_until([&] { return !f.sender.events.empty(); }));
    CHECK(std::get<traffic::holder_failed>(f.sender.events.front()) ==
          traffic::holder_failed{daemon_name("h"), true});
    CHECK_FALSE(f.holder.links.is_stopped(instant{}));
    f.answer(0, "v");
    CHECK(f.run_until([&] { return f.holder.links.is_stopped(instant{}); }));
    CHECK(one.answers.size() == 1);
    test_connection next(f.sender, f.address);
    f.send(next, 4);
    CHECK(f.run_until([&] { return !next.refusals.empty(); }));
    CHECK(next.refusals.front().is_undelivered);
}

// Rule 7. Guards against large statements that hold up those of others.
TEST_CASE("a statement larger than 64 KiB is not forwarded")
{
    fixture f;
    test_connection one(f.sender, f.address);
    std::string text;
    // Compression must not bring the statement below the limit.
    for (std::uint32_t n = 1; text.size() < std::size_t{200} * 1024;
         n = n * 1664525 + 1013904223)
        text += std::to_string(n);
    f.send(one, 3, text);
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals.front().is_undelivered);
}

// Rule 8. Guards against links that are never closed, and against more of them
// than a daemon has descriptors for.
TEST_CASE("idle links are closed, and only as many are accepted as needed")
{
    fixture f;
    test_connection one(f.sender, f.address);
    f.send(one, 3);
    REQUIRE(f.run_until([&] { return f.holder.statements.size() == 1; }));
    f.sender.links.tick(read_clock() + 61s);
    f.answer(0, "v");
    REQUIRE(f.run_until([&] { return one.answers.size() == 1; }));
    f.sender.links.tick(read_clock() + 61s);
    f.holder.links.begin_stop(read_clock());
    CHECK(f.run_until([&] { return f.holder.links.is_stopped(instant{}); }));

    fixture many;
    many.holder.links.set_member_count(1);
    std::vector<std::unique_ptr<test_daemon>> senders;
    std::vector<std::unique_ptr<test_connection>> connections;
    for (std::uint64_t n = 1; n != 19; ++n)
    {
        senders.push_back(std::make_unique<test_daemon>(many.loop));
        connections.push_back(
            std::make_unique<test_connection>(*senders.back(), many.address));
        many.send(*connections.back(), n);
        CHECK(many.run_until(
            [&]
            {
                senders.back()->links.tick(read_clock());
                return many.holder.statements.size() == n ||
                       connections.back()->is_lost ||
                       !connections.back()->refusals.empty();
            }));
    }
    CHECK(many.holder.statements.size() == 17);
}

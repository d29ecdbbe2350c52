// The rate tokens that operations consume in a server-checked group, over
// random sequences of what clients send and servers answer.
#include <basilreach/traffic/engine.hpp>

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <random>

using namespace basilreach;
using namespace basilreach::traffic;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t session_count = 4;
constexpr std::int64_t most_tokens = 60;

control_view make_view()
{
    control_view view;
    view.revision = 1;
    rules::route_rule route;
    route.group = group_name("g");
    route.timeout = 5s;
    view.routes.emplace(route_name("r"), route);
    view.keys.emplace(key_digest{1}, workspace_name("w"));
    view.workspaces.insert(workspace_name("w"));
    for (auto const* name : {"s1", "s2", "s3"})
        view.servers.emplace(server_name(name),
                             server_view{group_name("g"), data_centre_name("a"),
                                         "127.0.0.1:1", false, false});
    group_view group{1, server_name("s1"), 3};
    group.checked_by = rules::position_check::server;
    view.groups.emplace(group_name("g"), group);
    return view;
}

engine_settings make_settings()
{
    engine_settings settings;
    settings.holder = daemon_name("thread-0");
    settings.serves_without_lease = true;
    settings.initial_connections = 8;
    return settings;
}

// Clients that send random statements to one engine, and the servers.
class random_clients
{
public:
    explicit random_clients(unsigned seed) : random_(seed)
    {
        engine_.push(
            control_changed{std::make_shared<control_view>(make_view())});
        for (std::uint64_t id = 0; id != session_count; ++id)
        {
            session_opened event;
            event.session = session_id{id};
            event.route = route_name("r");
            event.workspace = workspace_name("w");
            event.key = key_digest{1};
            engine_.push(event);
        }
        engine_.push(lease_changed{now_ + 1h});
        run();
    }

    // Runs until the statements of all sessions have been refused for lack of
    // tokens several times.
    void run_until_tokens_are_used_up()
    {
        for (int n = 0; n != 20'000 && refused_ < 30; ++n)
        {
            auto const session = pick(session_count);
            if (!clients_[session].is_busy)
                send_statement_of(session);
            else if (clients_[session].connection)
                answer(session);
            now_ += 5ms;
            run();
        }
    }

    // Operations of which a server has begun a statement.
    [[nodiscard]] std::int64_t operations() const
    {
        return operations_;
    }

    // Rate tokens that the engine has got and has neither returned nor kept.
    [[nodiscard]] std::int64_t consumed_tokens() const
    {
        return granted_ - request_->returned - request_->left;
    }

    [[nodiscard]] int refused() const
    {
        return refused_;
    }

private:
    struct client
    {
        bool is_busy = false;
        bool is_open_at_server = false;
        bool is_counted = false;
        statement_verb verb = statement_verb::read;
        transaction_opening opens = transaction_opening::none;
        std::optional<connection_id> connection;
    };

    std::size_t pick(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    void send_statement_of(std::size_t session)
    {
        auto& it = clients_[session];
        constexpr std::array verbs = {
            statement_verb::read, statement_verb::write, statement_verb::commit,
            statement_verb::rollback};
        constexpr std::array openings = {transaction_opening::none,
                                         transaction_opening::read_only,
                                         transaction_opening::read_write};
        it.opens = it.is_open_at_server ? transaction_opening::opened
                                        : openings[pick(openings.size())];
        // COMMIT needs a transaction; a ROLLBACK reaches a server only if one
        // is open there.
        std::size_t const choices = it.is_open_at_server                    ? 4
                                    : it.opens != transaction_opening::none ? 3
                                                                            : 2;
        it.verb = verbs[pick(choices)];
        it.is_busy = true;
        it.is_counted = it.is_open_at_server;
        engine_.push(
            statement_received{session_id{session}, it.verb, it.opens});
    }

    void answer(std::size_t session)
    {
        auto& it = clients_[session];
        auto const connection = *it.connection;
        it.connection.reset();
        constexpr std::size_t lost_in = 12;
        constexpr std::size_t busy_in = 5;
        if (pick(lost_in) == 0)
            return engine_.push(connection_failed{connection});
        if (!it.is_open_at_server && pick(busy_in) == 0)
        {
            answer_received busy{connection, true, transaction_status::idle,
                                 std::nullopt};
            busy.proof = answer_proof::not_run_busy;
            return engine_.push(busy);
        }
        bool const is_open =
            (it.is_open_at_server || it.opens != transaction_opening::none) &&
            it.verb != statement_verb::commit &&
            it.verb != statement_verb::rollback;
        it.is_open_at_server = is_open;
        answer_received event{connection, false,
                              is_open ? transaction_status::in_transaction
                                      : transaction_status::idle,
                              log_position{1, ++position_}};
        event.is_from_primary = true;
        engine_.push(event);
    }

    void run()
    {
        for (bool again = true; std::exchange(again, false);)
            for (auto const& action : engine_.tick(now_))
                again = std::visit([this](auto const& it) { return on(it); },
                                   action) ||
                        again;
    }

    template <class Action>
    bool on(Action const& /*it*/)
    {
        return false;
    }

    bool on(open_connection const& it)
    {
        engine_.push(connection_opened{it.connection});
        return true;
    }

    bool on(query_position const& it)
    {
        engine_.push(position_observed{it.connection, {1, position_}, true});
        return true;
    }

    bool on(send_statement const& it)
    {
        auto& row = clients_[static_cast<std::size_t>(it.session)];
        row.connection = it.connection;
        // A retry after a rejection is the same operation.
        operations_ += row.is_counted ? 0 : 1;
        row.is_counted = true;
        return false;
    }

    bool on(relay_answer const& it)
    {
        clients_[static_cast<std::size_t>(it.session)].is_busy = false;
        return false;
    }

    bool on(refuse const& it)
    {
        clients_[static_cast<std::size_t>(it.session)] = {};
        refused_ += it.reason == refusal_reason::rate_exceeded ? 1 : 0;
        return false;
    }

    bool on(abort_transaction const& it)
    {
        clients_[static_cast<std::size_t>(it.session)] = {};
        return false;
    }

    bool on(limits::token_request const& it)
    {
        request_ = it;
        if (it.waiting == 0)
            return false;
        // As the leader does, it answers a request that it has no tokens for.
        bool const is_used_up = granted_ + it.waiting > most_tokens;
        grant(it, is_used_up ? 0 : it.waiting);
        return true;
    }

    void grant(limits::token_request const& request, std::int64_t tokens)
    {
        limits::token_grant it;
        it.workspace = workspace_name("w");
        it.holder = daemon_name("thread-0");
        it.incarnation = request.incarnation;
        it.id = {1, ++last_grant_};
        it.tokens = tokens;
        it.is_used_up = tokens == 0;
        it.lifetime = 1h;
        it.echo = now_;
        it.sent = now_;
        it.floor_suspension = 1h;
        granted_ += it.tokens;
        engine_.push(it);
    }

    std::mt19937 random_;
    engine engine_{make_settings()};
    instant now_{1h};
    std::array<client, session_count> clients_;
    std::uint64_t position_ = 1;
    std::int64_t operations_ = 0;
    int refused_ = 0;
    std::int64_t granted_ = 0;
    std::uint64_t last_grant_ = 0;
    std::optional<limits::token_request> request_;
};

} // namespace

// Guards against operations that reach a server without a rate token, such as
// the COMMIT of a transaction without a statement, and against operations that
// consume more than one, for example by a retry.
TEST_CASE("each operation that a server begins has consumed one rate token")
{
    for (unsigned seed = 1; seed != 41; ++seed)
    {
        CAPTURE(seed);
        random_clients clients(seed);
        clients.run_until_tokens_are_used_up();
        CHECK(clients.refused() == 30);
        CHECK(clients.operations() > most_tokens / 2);
        CHECK(clients.operations() == clients.consumed_tokens());
    }
}

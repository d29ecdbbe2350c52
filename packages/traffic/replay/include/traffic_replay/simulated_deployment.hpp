#ifndef BASILREACH_TRAFFIC_REPLAY_SIMULATED_DEPLOYMENT_HPP
#define BASILREACH_TRAFFIC_REPLAY_SIMULATED_DEPLOYMENT_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <basilreach/traffic/engine.hpp>

#include <traffic_replay/history.hpp>

#include <simulation.hpp>

namespace basilreach::traffic::replay
{

struct simulated_deployment_settings
{
    unsigned hosts = 2;
    unsigned workspaces = 1;
    engine_settings engine;
    // Time from a commit at the primary to its arrival at a replica.
    duration lag = std::chrono::milliseconds(1);
    // One-way latency between any two processes.
    duration latency = std::chrono::microseconds(500);
    // Mean time for which a statement occupies a slot.
    duration service = std::chrono::milliseconds(1);
    duration connecting = std::chrono::milliseconds(10);
    duration lease = std::chrono::seconds(3);
    std::uint32_t slots = 3;
    // Maximum age of the data that a read returns.
    std::optional<duration> max_age;
};

// How a client's statement ended.
enum class statement_outcome : std::uint8_t
{
    answered,
    error,
    not_run,
    // The outcome is unknown, or the entry host was lost.
    unknown
};

// One database group of three servers, entry hosts that each run one engine,
// the control leader and clients, under virtual time. A seed always gives the
// same run.
class simulated_deployment
{
public:
    simulated_deployment(simulated_deployment_settings settings,
                         std::uint64_t seed);
    simulated_deployment(simulated_deployment const&) = delete;
    simulated_deployment& operator=(simulated_deployment const&) = delete;

    static constexpr unsigned server_count = 3;

    // Adds a client that is connected to a host and has no session token.
    unsigned add_client(unsigned host, unsigned workspace = 0);

    // Sends a statement of a client that has none in progress.
    void issue(unsigned client, statement_kind what);

    // Moves a client to a host, with or without its session token.
    void move_client(unsigned client, unsigned host, bool without_token);

    [[nodiscard]] bool is_busy(unsigned client) const
    {
        return clients_[client].statement != 0;
    }

    [[nodiscard]] bool is_in_transaction(unsigned client) const
    {
        return clients_[client].transaction != 0;
    }

    // Called when a statement of a client ends.
    std::function<void(unsigned client, statement_outcome end)> on_finished;

    void lose_server(unsigned server);
    void restart_server(unsigned server);
    void lose_host(unsigned host);
    // Partitions the network: a server and a host reach only each other.
    void isolate(unsigned server, unsigned host);
    void heal();
    void set_lag(unsigned server, duration lag);
    // Stops the answers on the server's open connections; new ones work. The
    // statements that are sent over them still run or are lost.
    void silence(unsigned server, bool runs);
    void lose_connections(unsigned server);
    // Delays the answers that a server gives from now on.
    void delay_answers(unsigned server, duration delay);
    // Reports a verdict of the external health check to the control leader.
    void verdict(unsigned server, bool is_down);

    // Runs all events up to and at the time.
    void run(instant end);

    // Repairs all faults, waits until the group serves again and checks the
    // history.
    [[nodiscard]] std::vector<violation> finish();

    [[nodiscard]] std::optional<unsigned> primary() const;

    [[nodiscard]] std::uint64_t term() const
    {
        return view_.groups.at(group_).term;
    }

    // Adds the counts of all hosts' engines.
    [[nodiscard]] engine_counts counts() const;

    [[nodiscard]] instant now() const
    {
        return clock_.now();
    }

    // Schedules an event of a replay or a measurement.
    void at(instant time, std::function<void()> event)
    {
        clock_.at(time, std::move(event));
    }

    limits::replay::random_source random;

private:
    struct statement_row
    {
        statement_kind what = statement_kind::read;
        unsigned client = 0;
        std::uint64_t transaction = 0;
        std::uint64_t write = 0;
    };

    struct server_answer
    {
        std::uint64_t statement = 0;
        std::uint64_t term = 0;
        std::uint64_t write = 0;
        bool is_error = false;
        transaction_status status = transaction_status::idle;
        std::optional<log_position> position;
    };

    struct client_row
    {
        unsigned host = 0;
        unsigned workspace = 0;
        // Sessions of the write route and of the read route.
        std::array<std::uint64_t, 2> sessions{};
        group_positions session_positions;
        std::uint64_t statement = 0;
        std::uint64_t transaction = 0;
        std::uint64_t writes = 0;
        // The last write of the transaction, 0 when it has none.
        std::uint64_t transaction_write = 0;
    };

    struct host_row
    {
        std::unique_ptr<traffic::engine> engine;
        bool is_isolated = false;
        instant next_tick = never;
        instant lease_until;
        // When the lease has ended by the clock of the control leader.
        instant lease_end;
        std::uint64_t confirmed = 0;
        std::unordered_map<std::uint64_t, unsigned> client_of_session;
        std::unordered_map<row_id, std::size_t> connections;
        // Answers that are stored by the front end, by session.
        std::unordered_map<std::uint64_t, server_answer> answers;
    };

    struct stored_entry
    {
        log_entry entry;
        instant committed;
    };

    struct connection_row
    {
        unsigned host = 0;
        connection_id id{};
        unsigned server = 0;
        bool is_read_only = false;
        bool is_closed = false;
        bool drops_statements = false;
        bool drops_answers = false;
        // The session whose statement was sent last.
        std::uint64_t session = 0;
        std::uint64_t transaction = 0;
        std::vector<log_entry> uncommitted{};
    };

    struct work
    {
        std::size_t connection = 0;
        std::uint64_t statement = 0;
    };

    struct server_row
    {
        bool is_alive = true;
        bool is_isolated = false;
        bool is_primary = false;
        std::uint64_t term = 1;
        duration lag{};
        duration answer_delay{};
        std::vector<stored_entry> log;
        // The last write of each client in the log.
        std::unordered_map<unsigned, std::uint64_t> last_write;
        std::uint32_t running = 0;
        std::deque<work> waiting;
        // Counts losses of the server, so that events of an earlier incarnation
        // are ignored.
        std::uint64_t incarnation = 0;
    };

    using server_id = unsigned;
    using host_id = unsigned;

    // Hosts.
    void push(host_id host, event it);
    void tick(host_id host);
    void open_sessions(unsigned client);
    void end_statement(unsigned client, statement_outcome end);
    void leave_host(unsigned client);
    void on(host_id host, open_connection const& it);
    void on(host_id host, close_connection const& it);
    void on(host_id host, send_statement const& it);
    void on(host_id host, query_position const& it);
    void on(host_id host, relay_answer const& it);
    void on(host_id host, refuse const& it);
    void on(host_id host, end_session const& it);
    void on(host_id host, control_view_adopted const& it);
    template <class Other>
    void on(host_id /*host*/, Other const& /*it*/)
    {
    }

    // Servers.
    [[nodiscard]] bool reaches(host_id host, server_id server) const;
    [[nodiscard]] log_position position(server_id id) const;
    void receive(std::size_t connection, std::uint64_t statement);
    void start_work(server_id id);
    void finish_work(server_id id, work const& it);
    [[nodiscard]] server_answer execute(server_row& server,
                                        connection_row& connection,
                                        std::uint64_t statement);
    void append(server_row& server, log_entry const& entry);
    void reply(std::size_t connection, server_answer const& it);
    void fail_connection(std::size_t connection);
    void replicate(server_id to);
    void replicate_all(duration after);
    void follow_primary(server_row& to, server_row const& from, server_id id);
    void promote(server_id id, std::uint64_t term);

    // Control.
    void renew_leases();
    void publish();
    void send_view(host_id host);
    void begin_fencing();
    void check_fence();
    void choose_primary();

    simulated_deployment_settings settings_;
    limits::replay::simulation clock_;
    group_name group_{"g"};
    control_view view_;
    // The revision that every host must confirm before a primary is chosen.
    std::optional<std::uint64_t> fence_revision_;
    bool is_choosing_ = false;
    // The last term assigned to a candidate. No term is used twice.
    std::uint64_t last_term_ = 1;
    std::vector<host_row> hosts_;
    std::array<server_row, server_count> servers_;
    std::vector<connection_row> connections_;
    std::vector<client_row> clients_;
    // Statement n is at index n - 1.
    std::vector<statement_row> statements_;
    std::vector<record> history_;
    std::uint64_t last_session_ = 0;
    std::uint64_t last_transaction_ = 0;
};

} // namespace basilreach::traffic::replay

#endif

#ifndef BASILREACH_STAND_IN_CLIENT_HPP
#define BASILREACH_STAND_IN_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <basilreach/base/table.hpp>
#include <basilreach/pgwire/decoder.hpp>
#include <basilreach/pgwire/encoder.hpp>
#include <basilreach/stand_in/statement.hpp>
#include <basilreach/stand_in/store.hpp>

namespace basilreach::stand_in
{

using client_id = row_id;

enum class client_phase : std::uint8_t
{
    startup,
    password,
    // The password was right; group_settings::connection_cost has to pass.
    authenticating,
    ready,
    closing
};

enum class client_activity : std::uint8_t
{
    idle,
    waiting_for_lock,
    waiting_for_slot,
    running
};

enum class transaction_state : std::uint8_t
{
    none,
    implicit,
    block,
    failed_block
};

struct transaction
{
    transaction_state state = transaction_state::none;
    bool read_only = false;
    std::uint64_t demotions = 0;
    std::vector<operation> changes;
    std::set<std::string> locks;
};

struct prepared_statement
{
    statement parsed;
    std::size_t parameter_count = 0;
};

struct portal
{
    statement parsed;
    std::vector<std::optional<std::string>> arguments;
};

// The statement that a client runs at present, with its parameters bound.
struct execution
{
    statement_kind kind = statement_kind::begin;
    std::vector<std::string> arguments;
    bool describe = false;
};

// A connection to a server of the group.
struct client
{
    std::size_t server = 0;
    client_phase phase = client_phase::startup;
    client_activity activity = client_activity::idle;
    // Connected to the database `stand_in`, whose statements control the group
    // (see control_commands.cpp).
    bool is_control = false;
    bool counts_towards_limit = false;
    // After SILENCE: input is ignored and no output is sent.
    bool silenced = false;
    bool read_only_default = false;
    // In the list of clients that the next tick handles.
    bool is_changed = false;
    // The deadline of the current activity has passed.
    bool deadline_passed = false;
    // After an error, messages up to the next Sync are ignored.
    bool skips_until_sync = false;
    bool in_simple_query = false;
    std::uint32_t process = 0;
    std::string user;
    pgwire::decoder decoder;
    std::deque<pgwire::frontend_message> inbox;
    std::deque<std::string> simple_statements;
    std::string out;
    std::string received;
    transaction current_transaction;
    execution current_statement;
    std::string requested_lock;
    std::map<std::string, prepared_statement> statements;
    std::map<std::string, portal> portals;
};

} // namespace basilreach::stand_in

#endif

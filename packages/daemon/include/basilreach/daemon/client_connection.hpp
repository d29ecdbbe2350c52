#ifndef BASILREACH_DAEMON_CLIENT_CONNECTION_HPP
#define BASILREACH_DAEMON_CLIENT_CONNECTION_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <ace/Event_Handler.h>

#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/statement.hpp>

namespace basilreach::daemon
{

class client_connection;

// What a server answered to a statement, in the form of its protocol. Caller
// and backend connections of one protocol know the type.
class answer_payload
{
public:
    virtual ~answer_payload() = default;
};

// Who the caller is and what it may use, once it has been authenticated.
struct client_identity
{
    route_name route;
    group_name group;
    workspace_name workspace;
    std::optional<traffic::key_digest> key;
    // The session belongs to the admin console.
    bool is_admin = false;

    friend bool operator==(client_identity const&,
                           client_identity const&) = default;
};

// What a caller's connection needs from the thread that serves it.
struct client_owner
{
    event_loop* loop = nullptr;
    // Returns the identity for a database name and a key. Without a key it is
    // the identity on an open route; nothing means that access is denied.
    std::function<std::optional<client_identity>(
        std::string_view database, std::optional<std::string_view> key)>
        authenticate;
    // Whether this daemon has learned any rules since it started.
    std::function<bool()> has_rules;
    // Whether the database name is a route or the admin console.
    std::function<bool(std::string_view database)> is_known;
    // The client has been authenticated; the owner opens its session, perhaps
    // in another thread.
    std::function<void(client_connection&)> ready;
    // Starts the client's current statement.
    std::function<void(client_connection&,
                       traffic::statement_verb,
                       traffic::transaction_opening)>
        submit;
    std::function<void(client_connection&, log_position)>
        session_token_presented;
    std::function<void(client_connection&, std::string)> admin;
    // The connection has ended; the owner destroys it later.
    std::function<void(client_connection&)> closed;
};

// One caller's connection, whatever protocol it speaks. A thread owns it and
// may hand it over to another one before its session starts.
class client_connection : public ACE_Event_Handler
{
public:
    // Registers with the owner's reactor. Called again after a hand-over.
    virtual void attach(client_owner const& owner) = 0;

    // Leaves the owner's reactor, for a hand-over to another thread.
    virtual void detach() = 0;

    // Continues after a hand-over: tells the client that it is connected and
    // handles what it sent meanwhile.
    virtual void start_session(std::uint64_t session) = 0;

    // Passes the stored answer on. The position is the session's new one.
    virtual void relay(std::optional<log_position> position) = 0;

    // Answers the current statement with an error.
    virtual void refuse(traffic::refuse const& it) = 0;

    // Ends the connection while no statement is in progress.
    virtual void end(traffic::refusal_reason reason) = 0;

    // The session's transaction was lost while no statement was in progress.
    virtual void abort_transaction() = 0;

    virtual void answer_admin(messages::admin_reply const& reply) = 0;

    virtual void store_answer(std::unique_ptr<answer_payload> answer) = 0;

    // The number of the session, or 0 before it has started.
    [[nodiscard]] virtual std::uint64_t session() const = 0;

    [[nodiscard]] virtual client_identity const& identity() const = 0;

    // The session's name, if the caller gave one.
    [[nodiscard]] virtual session_name const& label() const = 0;

    // The caller's own id of the current statement, or empty.
    [[nodiscard]] virtual std::string const& request_label() const = 0;

    // The position that the caller's token states for the route's group.
    [[nodiscard]] virtual std::optional<log_position>
    presented_position() const = 0;

    // Whether the caller declared all its transactions read-only.
    [[nodiscard]] virtual bool is_read_only() const = 0;

    [[nodiscard]] virtual instant submitted_at() const = 0;
};

} // namespace basilreach::daemon

#endif

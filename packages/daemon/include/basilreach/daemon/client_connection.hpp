#ifndef BASILREACH_DAEMON_CLIENT_CONNECTION_HPP
#define BASILREACH_DAEMON_CLIENT_CONNECTION_HPP

#include <cstddef>
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

// A server's answer to a statement. The derived type belongs to a protocol and
// is known to its client and server connections only.
class answer_payload
{
public:
    virtual ~answer_payload() = default;
};

// Who an authenticated client is and what it may use.
struct client_identity
{
    route_name route;
    group_name group;
    workspace_name workspace;
    std::optional<traffic::key_digest> key;
    // The client is connected to the admin console.
    bool is_admin = false;
    // Another daemon has forwarded the client's statement.
    bool is_forwarded = false;

    friend bool operator==(client_identity const&,
                           client_identity const&) = default;
};

// The thread that serves a client's connection, as the connection sees it: its
// event loop and the callbacks for what the client does.
struct client_owner
{
    event_loop* loop = nullptr;
    // Returns the identity for a database name and a key, or nothing when
    // access is denied. Without a key only an open route is granted.
    std::function<std::optional<client_identity>(
        std::string_view database, std::optional<std::string_view> key)>
        authenticate;
    // Why authenticate() has returned nothing for a database name: the name or
    // the key is unknown, or the daemon's rules may be outdated, so that it
    // cannot know.
    std::function<traffic::refusal_reason(std::string_view database)>
        denial_reason;
    // Whether the database name is a route or the admin console.
    std::function<bool(std::string_view database)> is_known;
    // The client's connection is refused for this reason.
    std::function<void(std::string_view database, traffic::refusal_reason)>
        refused;
    // The client has been authenticated. The owner opens its session, perhaps
    // in another thread: the one that serves the group of the client's route.
    std::function<void(client_connection&)> authenticated;
    // Submits the client's current statement for execution.
    std::function<void(client_connection&,
                       traffic::statement_verb,
                       traffic::transaction_opening)>
        submit;
    std::function<void(client_connection&, group_positions const&)>
        session_token_presented;
    // Submits a command of the admin console.
    std::function<void(client_connection&, std::string)> submit_console_request;
    // The bytes that the connection buffers have changed.
    std::function<void(client_connection&)> buffered;
    // The connection has ended. The owner destroys it after the callback, as
    // the connection is still in use by its caller.
    std::function<void(client_connection&)> closed;
};

// A client's connection of any protocol. A thread owns it and may hand it over
// to another thread before its session starts.
class client_connection : public ACE_Event_Handler
{
public:
    // Registers with the owner's reactor. Called again by the new owner after
    // a hand-over.
    virtual void attach(client_owner const& owner) = 0;

    // Removes itself from the owner's reactor, before a hand-over.
    virtual void detach() = 0;

    // Called after the hand-over: reports to the client that it is connected,
    // and handles the messages that it sent in the meantime.
    virtual void start_session(std::uint64_t session) = 0;

    // Sends the stored answer to the client. The position, if there is one, is
    // the session's new position in its group.
    virtual void relay(std::optional<group_position> const& position) = 0;

    // Answers the current statement with an error.
    virtual void refuse(traffic::refuse const& it) = 0;

    // Closes the connection while no statement is in progress.
    virtual void end(traffic::refusal_reason reason) = 0;

    // Called when the session's transaction was lost while no statement was in
    // progress.
    virtual void abort_transaction() = 0;

    virtual void send_console_reply(messages::admin_reply const& reply) = 0;

    // Keeps the answer until relay() or refuse() is called.
    virtual void store_answer(std::unique_ptr<answer_payload> answer) = 0;

    // The number of the session, or 0 before the session has started.
    [[nodiscard]] virtual std::uint64_t session() const = 0;

    [[nodiscard]] virtual client_identity const& identity() const = 0;

    // The session's name, or empty when the client gave none.
    [[nodiscard]] virtual session_name const& session_label() const = 0;

    // The client's id of the current statement, or empty.
    [[nodiscard]] virtual std::string const& request_label() const = 0;

    // The positions in the client's session token.
    [[nodiscard]] virtual group_positions presented_positions() const = 0;

    // Whether the client declared all its transactions read-only.
    [[nodiscard]] virtual bool is_read_only() const = 0;

    [[nodiscard]] virtual instant submitted_at() const = 0;

    // The bytes of the client's input, statements and answers in memory.
    [[nodiscard]] virtual std::size_t buffered_bytes() const = 0;

    // Stops or resumes reading, in addition to the connection's own reasons.
    virtual void hold_reading(bool held) = 0;

    // Closes the connection, also while a statement is in progress.
    virtual void close_at_once() = 0;

    // The number under which the owner accounts for the connection.
    [[nodiscard]] std::uint64_t number() const
    {
        return number_;
    }

    void set_number(std::uint64_t number)
    {
        number_ = number;
    }

private:
    std::uint64_t number_ = 0;
};

} // namespace basilreach::daemon

#endif

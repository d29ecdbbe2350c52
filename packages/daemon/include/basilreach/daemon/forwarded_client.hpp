#ifndef BASILREACH_DAEMON_FORWARDED_CLIENT_HPP
#define BASILREACH_DAEMON_FORWARDED_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>

#include <basilreach/daemon/forward_codec.hpp>
#include <basilreach/daemon/line_client.hpp>

namespace basilreach::daemon
{

// The session of another daemon's client while this daemon runs its statement
// or transaction. It ends with them: the next statement brings along all that
// is known of the session.
class forwarded_client : public line_client
{
public:
    struct callbacks
    {
        // Sends a message to the daemon that forwarded the statement.
        std::function<void(messages::message const&)> reply;
        // The client has ended; called before the owner is told.
        std::function<void(forwarded_client const&)> finished;
    };

    // The session number is the sender's.
    forwarded_client(std::uint64_t sender_session,
                     forwarded_statement const& first,
                     callbacks calls);

    // Takes over a statement, which the caller submits.
    void begin(std::uint64_t request, forwarded_statement it);

    // Ends the session without a reply.
    void abandon();

    [[nodiscard]] bool is_busy() const
    {
        return request_ != 0;
    }

    [[nodiscard]] std::uint64_t sender_session() const
    {
        return sender_session_;
    }

    void attach(client_owner const& owner) override;
    void detach() override;
    void start_session(std::uint64_t session) override;
    void relay(std::optional<group_position> const& position) override;
    void refuse(traffic::refuse const& it) override;
    void end(traffic::refusal_reason reason) override;
    void abort_transaction() override;
    void send_console_reply(messages::admin_reply const& reply) override;
    void store_answer(std::unique_ptr<answer_payload> answer) override;

    // What is forwarded is limited by its link and draws from no budget of
    // client connections.
    [[nodiscard]] std::size_t buffered_bytes() const override
    {
        return 0;
    }

    void hold_reading(bool /*held*/) override
    {
    }

    void close_at_once() override
    {
    }

    [[nodiscard]] client_command const& current() const override
    {
        return current_;
    }

    [[nodiscard]] session_variables const& variables() const override
    {
        return variables_;
    }

    [[nodiscard]] std::uint64_t session() const override
    {
        return session_;
    }

    [[nodiscard]] client_identity const& identity() const override
    {
        return identity_;
    }

    [[nodiscard]] session_name const& session_label() const override
    {
        return session_label_;
    }

    [[nodiscard]] std::string const& request_label() const override
    {
        return current_.id;
    }

    [[nodiscard]] group_positions presented_positions() const override
    {
        return positions_;
    }

    [[nodiscard]] bool is_read_only() const override
    {
        return false;
    }

    [[nodiscard]] instant submitted_at() const override
    {
        return submitted_at_;
    }

private:
    void finish();

    std::uint64_t sender_session_;
    callbacks calls_;
    client_owner const* owner_ = nullptr;
    std::uint64_t session_ = 0;
    client_identity identity_;
    session_name session_label_;
    group_positions positions_;
    client_command current_;
    session_variables variables_;
    instant submitted_at_;
    // The sender's number of the statement in progress, or 0.
    std::uint64_t request_ = 0;
    bool has_transaction_ = false;
    bool is_finished_ = false;
    std::unique_ptr<line_answer> answer_;
};

} // namespace basilreach::daemon

#endif

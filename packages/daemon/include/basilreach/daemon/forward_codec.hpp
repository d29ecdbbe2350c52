#ifndef BASILREACH_DAEMON_FORWARD_CODEC_HPP
#define BASILREACH_DAEMON_FORWARD_CODEC_HPP

#include <cstdint>
#include <memory>
#include <optional>

#include <basilreach/daemon/line_client.hpp>
#include <basilreach/daemon/server_connection.hpp>
#include <basilreach/messages/message.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

// A statement that another daemon has forwarded.
struct forwarded_statement
{
    client_command command;
    session_variables variables;
    traffic::statement_verb verb = traffic::statement_verb::other;
    traffic::transaction_opening opens = traffic::transaction_opening::none;
    traffic::statement_origin origin;
    client_identity identity;
    group_positions positions;

    friend bool operator==(forwarded_statement const&,
                           forwarded_statement const&) = default;
};

[[nodiscard]] messages::forward_statement
make_forward_statement(line_client const& client,
                       traffic::forward_details const& details);

// Returns nothing if the message has a value that this version does not know.
[[nodiscard]] std::optional<forwarded_statement>
read_statement(messages::forward_statement const& it);

[[nodiscard]] messages::forward_answer make_forward_answer(
    std::uint64_t session, std::uint64_t request, line_answer const& answer);

// Returns nothing if the message has a value that this version does not know.
[[nodiscard]] std::optional<server_answer>
read_answer(messages::forward_answer const& it);

[[nodiscard]] messages::forward_refusal make_forward_refusal(
    std::uint64_t session, std::uint64_t request, traffic::refuse const& it);

// Returns nothing if the message has a value that this version does not know.
[[nodiscard]] std::optional<traffic::refuse>
read_refusal(messages::forward_refusal const& it);

} // namespace basilreach::daemon

#endif

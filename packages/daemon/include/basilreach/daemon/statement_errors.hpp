#ifndef BASILREACH_DAEMON_STATEMENT_ERRORS_HPP
#define BASILREACH_DAEMON_STATEMENT_ERRORS_HPP

#include <cstdint>

#include <basilreach/daemon/line_codec.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

// What an error guarantees to the client about the statement's effect.
enum class error_guarantee : std::uint8_t
{
    // The statement and the transaction that it belongs to have no effect.
    no_effect,
    // The statement ran and was answered with an error.
    ran,
    // The statement may have had its effect.
    unknown
};

struct error_properties
{
    error_guarantee guarantee = error_guarantee::unknown;
    // What the error proves to the proxy when a server reports it. With a proof
    // that it did not run, the statement may be tried at another server.
    traffic::answer_proof proof = traffic::answer_proof::none;

    friend bool operator==(error_properties const&,
                           error_properties const&) = default;
};

[[nodiscard]] error_properties properties_of(statement_error code);

// Returns the error that reports a refusal to the client. When the outcome is
// unknown, the error says so, whatever the reason.
[[nodiscard]] statement_error
to_statement_error(traffic::refusal_reason reason,
                   traffic::refusal_outcome outcome);

// Returns the text that states when the client of a refused statement should
// try again, for instance "retry_after_ms=120"; empty for a time of 0.
[[nodiscard]] std::string describe_retry(duration after);

} // namespace basilreach::daemon

#endif

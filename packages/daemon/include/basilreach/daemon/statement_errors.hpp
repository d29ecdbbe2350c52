#ifndef BASILREACH_DAEMON_STATEMENT_ERRORS_HPP
#define BASILREACH_DAEMON_STATEMENT_ERRORS_HPP

#include <cstdint>

#include <basilreach/daemon/line_codec.hpp>
#include <basilreach/traffic/action.hpp>
#include <basilreach/traffic/event.hpp>

namespace basilreach::daemon
{

// What a caller may conclude from an error.
enum class error_promise : std::uint8_t
{
    // Nothing of the caller's attempt has been kept.
    not_kept,
    // The statement ran and was answered with an error.
    ran,
    // The statement may have had its effect.
    unknown
};

struct error_meaning
{
    error_promise promise = error_promise::unknown;
    // What the error proves when a server gives it to the proxy; such a
    // statement may be tried at another server.
    traffic::answer_proof proof = traffic::answer_proof::none;

    friend bool operator==(error_meaning const&,
                           error_meaning const&) = default;
};

[[nodiscard]] error_meaning meaning_of(statement_error code);

// The error that tells a caller of a refusal. A statement whose outcome is
// unknown is always reported as such, whatever the reason.
[[nodiscard]] statement_error error_for(traffic::refusal_reason reason,
                                        traffic::refusal_outcome outcome);

} // namespace basilreach::daemon

#endif

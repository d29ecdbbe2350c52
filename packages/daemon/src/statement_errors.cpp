#include <basilreach/daemon/statement_errors.hpp>

#include <array>
#include <chrono>

namespace basilreach::daemon
{

namespace
{

using traffic::answer_proof;

// Indexed by statement_error.
constexpr std::array properties = {
    error_properties{error_guarantee::no_effect, answer_proof::not_run_busy},
    error_properties{error_guarantee::no_effect, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::not_run_behind},
    error_properties{error_guarantee::no_effect,
                     answer_proof::not_run_not_primary},
    error_properties{error_guarantee::no_effect, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::not_run_busy},
    error_properties{error_guarantee::unknown, answer_proof::none},
    error_properties{error_guarantee::unknown, answer_proof::none},
    error_properties{error_guarantee::ran, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::none},
    error_properties{error_guarantee::no_effect, answer_proof::none}};

static_assert(properties.size() ==
              static_cast<std::size_t>(statement_error::malformed) + 1);

// Errors for statements that had no effect. Indexed by traffic::refusal_reason.
constexpr std::array not_run_errors = {
    statement_error::unknown_database, // unknown_route
    statement_error::unknown_key,      // key_withdrawn
    statement_error::unknown_key,      // workspace_not_allowed
    statement_error::malformed,        // session_state_unsupported
    statement_error::too_many,         // rate_exceeded
    statement_error::busy,             // queue_full
    statement_error::busy,             // deadline
    statement_error::busy,             // no_lease
    statement_error::aborted,          // connection_lost
    statement_error::aborted,          // transaction_lost
    statement_error::not_primary,      // superseded
    statement_error::aborted,          // not_replicated
    statement_error::aborted,          // draining
    statement_error::busy,             // server_silent
    statement_error::busy,             // no_primary
    statement_error::busy,             // behind
    statement_error::busy,             // out_of_service
};

static_assert(
    not_run_errors.size() ==
    static_cast<std::size_t>(traffic::refusal_reason::out_of_service) + 1);

} // namespace

error_properties properties_of(statement_error code)
{
    return properties[static_cast<std::size_t>(code)];
}

statement_error to_statement_error(traffic::refusal_reason reason,
                                   traffic::refusal_outcome outcome)
{
    return outcome == traffic::refusal_outcome::unknown
               ? statement_error::in_doubt
               : not_run_errors[static_cast<std::size_t>(reason)];
}

std::string describe_retry(duration after)
{
    if (after <= duration{})
        return {};
    auto const time = std::chrono::ceil<std::chrono::milliseconds>(after);
    return "retry_after_ms=" + std::to_string(time.count());
}

} // namespace basilreach::daemon

#include <basilreach/daemon/statement_errors.hpp>

#include <doctest/doctest.h>

#include <array>

using namespace basilreach;
using namespace basilreach::daemon;
using traffic::answer_proof;
using traffic::refusal_outcome;
using traffic::refusal_reason;

// Guards against an error that guarantees more than is known, and against a
// retry of a statement that may have run.
TEST_CASE("each error gives the guarantee that the protocol states")
{
    struct row
    {
        statement_error code;
        error_guarantee guarantee;
        answer_proof proof;
    };
    constexpr auto no_effect = error_guarantee::no_effect;
    constexpr auto none = answer_proof::none;
    constexpr std::array rows = {
        row{statement_error::busy, no_effect, answer_proof::not_run_busy},
        row{statement_error::aborted, no_effect, none},
        row{statement_error::behind_position, no_effect,
            answer_proof::not_run_behind},
        row{statement_error::not_primary, no_effect,
            answer_proof::not_run_not_primary},
        row{statement_error::wrong_server, no_effect, none},
        row{statement_error::too_many, no_effect, answer_proof::not_run_busy},
        row{statement_error::in_doubt, error_guarantee::unknown, none},
        row{statement_error::timeout, error_guarantee::unknown, none},
        row{statement_error::failed, error_guarantee::ran, none},
        row{statement_error::unknown_statement_name, no_effect, none},
        row{statement_error::unknown_database, no_effect, none},
        row{statement_error::unknown_key, no_effect, none},
        row{statement_error::malformed, no_effect, none},
    };
    CHECK(rows.size() ==
          static_cast<std::size_t>(statement_error::malformed) + 1);
    for (auto const& it : rows)
    {
        CAPTURE(static_cast<int>(it.code));
        CHECK(properties_of(it.code) ==
              error_properties{it.guarantee, it.proof});
    }
}

TEST_CASE("each refusal becomes an error that guarantees no more than it does")
{
    struct row
    {
        refusal_reason reason;
        statement_error code;
    };
    constexpr std::array rows = {
        row{refusal_reason::unknown_route, statement_error::unknown_database},
        row{refusal_reason::key_withdrawn, statement_error::unknown_key},
        row{refusal_reason::workspace_not_allowed,
            statement_error::unknown_key},
        row{refusal_reason::session_state_unsupported,
            statement_error::malformed},
        row{refusal_reason::rate_exceeded, statement_error::too_many},
        row{refusal_reason::queue_full, statement_error::busy},
        row{refusal_reason::deadline, statement_error::busy},
        row{refusal_reason::no_lease, statement_error::busy},
        row{refusal_reason::connection_lost, statement_error::aborted},
        row{refusal_reason::transaction_lost, statement_error::aborted},
        row{refusal_reason::superseded, statement_error::not_primary},
        row{refusal_reason::not_replicated, statement_error::aborted},
        row{refusal_reason::draining, statement_error::aborted},
        row{refusal_reason::server_silent, statement_error::busy},
        row{refusal_reason::no_primary, statement_error::busy},
        row{refusal_reason::out_of_service, statement_error::busy},
    };
    for (auto const& it : rows)
    {
        CAPTURE(static_cast<int>(it.reason));
        CHECK(to_statement_error(it.reason, refusal_outcome::not_run) ==
              it.code);
        CHECK(properties_of(it.code).guarantee == error_guarantee::no_effect);
        CHECK(to_statement_error(it.reason, refusal_outcome::unknown) ==
              statement_error::in_doubt);
    }
}

// Guards against a time of 0 for clients that try again at once, and against
// text for refusals without a time, which had none.
TEST_CASE("the text of a refusal states when to try again")
{
    using namespace std::chrono_literals;
    CHECK(describe_retry({}).empty());
    CHECK(describe_retry(1us) == "retry_after_ms=1");
    CHECK(describe_retry(120ms) == "retry_after_ms=120");
}

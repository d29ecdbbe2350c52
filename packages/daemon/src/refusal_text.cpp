#include "refusal_text.hpp"

#include <array>

namespace basilreach::daemon
{

namespace
{

struct refusal_entry
{
    char const* sqlstate;
    char const* message;
};

// Indexed by traffic::refusal_reason.
constexpr std::array refusals = {
    refusal_entry{"3D000", "the route does not exist"},
    refusal_entry{"28P01", "the key is not valid"},
    refusal_entry{"42501", "the workspace may not use the route"},
    refusal_entry{"0A000", "the statement changes the state of a database "
                           "session, which is not supported"},
    refusal_entry{"53400", "the workspace is over its rate"},
    refusal_entry{"57P03", "too many statements wait"},
    refusal_entry{"57P03", "the deadline of the statement has passed"},
    refusal_entry{"57P03", "the control state cannot be confirmed"},
    refusal_entry{"57P03", "the connection to the backend server was lost"},
    refusal_entry{"57P03", "the transaction was lost and rolled back"},
    refusal_entry{"57P03", "the primary was superseded"},
    refusal_entry{"57P03", "the write did not reach a majority in time"},
    refusal_entry{"57P01", "the entry host is stopping"},
    refusal_entry{"57P03", "the primary does not answer"},
    refusal_entry{"57P03", "the primary is being replaced"},
    refusal_entry{"57P03", "the control state of the host is not current"},
    refusal_entry{"57P03", "the data centre is out of service"},
};

static_assert(
    refusals.size() ==
    static_cast<std::size_t>(traffic::refusal_reason::out_of_service) + 1);

// Indexed by traffic::refusal_reason.
constexpr std::array cause_names = {"unknown_route",
                                    "key_withdrawn",
                                    "workspace_not_allowed",
                                    "session_state_unsupported",
                                    "rate_exceeded",
                                    "queue_full",
                                    "deadline",
                                    "no_lease",
                                    "connection_lost",
                                    "transaction_lost",
                                    "superseded",
                                    "not_replicated",
                                    "draining",
                                    "server_silent",
                                    "no_primary",
                                    "behind",
                                    "out_of_service"};

static_assert(
    cause_names.size() ==
    static_cast<std::size_t>(traffic::refusal_reason::out_of_service) + 1);

constexpr char unknown_outcome_sqlstate[] = "08007";

} // namespace

pgwire::error_fields describe_refusal(traffic::refusal_reason reason,
                                      traffic::refusal_outcome outcome)
{
    auto const& entry = refusals[static_cast<std::size_t>(reason)];
    bool const is_unknown = outcome == traffic::refusal_outcome::unknown;
    pgwire::error_fields fields;
    fields.sqlstate = is_unknown ? unknown_outcome_sqlstate : entry.sqlstate;
    fields.message =
        std::string(is_unknown ? "outcome unknown: " : "not run: ") +
        entry.message;
    fields.hint = is_unknown ? "outcome unknown" : "not run";
    return fields;
}

char const* name_of(traffic::refusal_reason reason)
{
    return cause_names[static_cast<std::size_t>(reason)];
}

} // namespace basilreach::daemon

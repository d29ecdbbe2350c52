#ifndef BASILREACH_TRAFFIC_REPLAY_HISTORY_HPP
#define BASILREACH_TRAFFIC_REPLAY_HISTORY_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilreach::traffic::replay
{

enum class statement_kind : std::uint8_t
{
    read,
    write,
    begin,
    commit
};

enum class record_kind : std::uint8_t
{
    // A client sent the statement to its entry host.
    issued,
    // A server ran the statement.
    executed,
    // The client received an answer.
    answered,
    // The client received a refusal.
    refused,
    // A server became primary.
    promoted
};

// One event of a simulation. Fields that a kind of event does not use are 0.
struct record
{
    record_kind kind = record_kind::issued;
    std::uint64_t statement = 0;
    statement_kind what = statement_kind::read;
    unsigned client = 0;
    // 0 outside a transaction.
    std::uint64_t transaction = 0;
    std::uint64_t connection = 0;
    std::uint64_t term = 0;
    // The statement that the server answered.
    std::uint64_t answer_to = 0;
    // The number of the client's write, or the last of its writes that a read
    // returned.
    std::uint64_t write = 0;
    bool is_error = false;
    bool is_not_run = false;

    friend bool operator==(record const&, record const&) = default;
};

// An entry of a server's log: one write of one client. The first entry of a
// term has the client `no_client`.
struct log_entry
{
    std::uint64_t term = 0;
    unsigned client = 0;
    std::uint64_t write = 0;

    friend auto operator<=>(log_entry const&, log_entry const&) = default;
};

inline constexpr unsigned no_client = ~0U;

enum class violation_kind : std::uint8_t
{
    stale_read,
    acknowledged_lost,
    superseded_acknowledged,
    executed_twice,
    wrong_answer,
    refused_but_run,
    mixed_transactions
};

struct violation
{
    violation_kind kind = violation_kind::stale_read;
    std::uint64_t statement = 0;

    friend bool operator==(violation const&, violation const&) = default;
};

// Returns every violation in a history, given the final primary's log.
[[nodiscard]] std::vector<violation>
check_history(std::vector<record> const& history,
              std::vector<log_entry> const& final_log);

// Returns the name of the violation, as traces use it, and its statement.
[[nodiscard]] std::string print(violation const& it);

} // namespace basilreach::traffic::replay

#endif

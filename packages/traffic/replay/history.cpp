#include <traffic_replay/history.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <unordered_map>

namespace basilreach::traffic::replay
{

namespace
{

// State of the checker after the records that it has processed.
struct checker
{
    std::set<std::pair<unsigned, std::uint64_t>> final_writes;
    std::unordered_map<unsigned, std::uint64_t> acknowledged;
    // By statement, the client's last acknowledged write when it was sent.
    std::unordered_map<std::uint64_t, std::uint64_t> required_write;
    std::unordered_map<std::uint64_t, unsigned> executions;
    std::set<std::uint64_t> refused;
    // By connection, the transaction that is open on it, or 0.
    std::unordered_map<std::uint64_t, std::uint64_t> open_transaction;
    std::uint64_t term = 0;
    std::vector<violation> violations;

    void add(violation_kind kind, record const& it)
    {
        violations.push_back({kind, it.statement});
    }

    void on_issued(record const& it)
    {
        required_write[it.statement] = acknowledged[it.client];
    }

    void on_executed(record const& it)
    {
        auto& owner = open_transaction[it.connection];
        bool const begins = it.what == statement_kind::begin;
        if (owner != (begins ? 0 : it.transaction))
            add(violation_kind::mixed_transactions, it);
        if (begins)
            owner = it.transaction;
        if (it.what == statement_kind::commit)
            owner = 0;
        if (++executions[it.statement] > 1 && it.what == statement_kind::write)
            add(violation_kind::executed_twice, it);
        if (refused.contains(it.statement))
            add(violation_kind::refused_but_run, it);
    }

    void on_answered(record const& it)
    {
        if (it.answer_to != it.statement)
            add(violation_kind::wrong_answer, it);
        if (it.is_error)
            return;
        if (it.what == statement_kind::read &&
            it.write < required_write[it.statement])
            add(violation_kind::stale_read, it);
        // A write inside a transaction is acknowledged by its commit.
        if (it.what == statement_kind::commit ||
            (it.what == statement_kind::write && it.transaction == 0))
            acknowledge(it);
    }

    void acknowledge(record const& it)
    {
        auto& last = acknowledged[it.client];
        last = std::max(last, it.write);
        if (it.term < term)
            add(violation_kind::superseded_acknowledged, it);
        // A transaction without writes has no entry in the log.
        if (it.write != 0 && !final_writes.contains({it.client, it.write}))
            add(violation_kind::acknowledged_lost, it);
    }

    void on_refused(record const& it)
    {
        if (!it.is_not_run)
            return;
        refused.insert(it.statement);
        if (executions[it.statement] != 0)
            add(violation_kind::refused_but_run, it);
    }

    void on_promoted(record const& it)
    {
        term = std::max(term, it.term);
    }
};

// Indexed by record_kind.
constexpr std::array<void (checker::*)(record const&), 5> handlers = {
    &checker::on_issued, &checker::on_executed, &checker::on_answered,
    &checker::on_refused, &checker::on_promoted};

// Indexed by violation_kind.
constexpr std::array<char const*, 7> names = {
    "stale_read",        "acknowledged_lost", "superseded_acknowledged",
    "executed_twice",    "wrong_answer",      "refused_but_run",
    "mixed_transactions"};

} // namespace

std::vector<violation> check_history(std::vector<record> const& history,
                                     std::vector<log_entry> const& final_log)
{
    checker it;
    for (auto const& entry : final_log)
        it.final_writes.insert({entry.client, entry.write});
    for (auto const& r : history)
        (it.*handlers[static_cast<std::size_t>(r.kind)])(r);
    return it.violations;
}

std::string print(violation const& it)
{
    return std::string(names[static_cast<std::size_t>(it.kind)]) +
           " statement " + std::to_string(it.statement);
}

} // namespace basilreach::traffic::replay

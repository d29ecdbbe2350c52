#ifndef BASILREACH_CONSENSUS_REPLICATED_LOG_HPP
#define BASILREACH_CONSENSUS_REPLICATED_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <basilreach/consensus/durable_state.hpp>
#include <basilreach/consensus/log_entry.hpp>
#include <basilreach/consensus/membership.hpp>

namespace basilreach::consensus
{

// The latest snapshot, the entries after it, and the membership that follows
// from them. A membership is in use as soon as its entry is in the log.
class replicated_log
{
public:
    replicated_log(snapshot base, std::vector<log_entry> const& entries);

    [[nodiscard]] std::uint64_t last_index() const;
    [[nodiscard]] std::uint64_t last_term() const;

    // The term at an index, or nothing outside the snapshot's last entry and
    // the entries after it.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t n) const;

    // The entry at an index after the snapshot and up to last_index().
    [[nodiscard]] log_entry const& at(std::uint64_t n) const;

    // Entries from first on, at most max_entries and, beyond the first entry,
    // at most max_bytes of payload.
    [[nodiscard]] std::vector<log_entry> slice(std::uint64_t first,
                                               std::size_t max_entries,
                                               std::size_t max_bytes) const;

    [[nodiscard]] std::shared_ptr<snapshot const> const& base() const
    {
        return base_;
    }

    // The membership in use and the index of the entry that set it.
    [[nodiscard]] membership const& members() const
    {
        return history_.back().second;
    }

    [[nodiscard]] std::uint64_t members_index() const
    {
        return history_.back().first;
    }

    // The membership after the entry at an index.
    [[nodiscard]] membership const& members_at(std::uint64_t n) const;

    void append(log_entry entry);
    void truncate_from(std::uint64_t first);

    // Replaces the snapshot and drops the entries that it covers.
    void compact(snapshot base);

    // Replaces the snapshot and drops every entry.
    void reset(snapshot base);

private:
    std::shared_ptr<snapshot const> base_;
    std::deque<log_entry> entries_;
    std::vector<std::pair<std::uint64_t, membership>> history_;
};

} // namespace basilreach::consensus

#endif

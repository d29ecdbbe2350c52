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

// The latest snapshot, the log entries after it, and the membership that
// results from them. A membership change takes effect when its entry is
// appended, not when it is committed.
class replicated_log
{
public:
    replicated_log(snapshot base, std::vector<log_entry> const& entries);

    [[nodiscard]] std::uint64_t last_index() const;
    [[nodiscard]] std::uint64_t last_term() const;

    // The term of the entry at an index. Empty before the last entry that the
    // snapshot covers and after last_index().
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t n) const;

    // The entry at an index, which must be after the snapshot and at most
    // last_index().
    [[nodiscard]] log_entry const& at(std::uint64_t n) const;

    // Returns entries from first on: at most max_entries, and at most max_bytes
    // of payload unless the first entry alone is larger.
    [[nodiscard]] std::vector<log_entry> slice(std::uint64_t first,
                                               std::size_t max_entries,
                                               std::size_t max_bytes) const;

    [[nodiscard]] std::shared_ptr<snapshot const> const& base() const
    {
        return base_;
    }

    // The current membership and the index of the entry that set it.
    [[nodiscard]] membership const& members() const
    {
        return history_.back().second;
    }

    [[nodiscard]] std::uint64_t members_index() const
    {
        return history_.back().first;
    }

    // The membership after the log entry at an index.
    [[nodiscard]] membership const& members_at(std::uint64_t n) const;

    void append(log_entry entry);
    void truncate_from(std::uint64_t first);

    // Replaces the snapshot and removes the entries that it covers.
    void compact(snapshot base);

    // Replaces the snapshot and removes all entries.
    void reset(snapshot base);

private:
    std::shared_ptr<snapshot const> base_;
    std::deque<log_entry> entries_;
    std::vector<std::pair<std::uint64_t, membership>> history_;
};

} // namespace basilreach::consensus

#endif

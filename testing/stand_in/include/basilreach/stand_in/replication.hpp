#ifndef BASILREACH_STAND_IN_REPLICATION_HPP
#define BASILREACH_STAND_IN_REPLICATION_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include <basilreach/base/instant.hpp>
#include <basilreach/base/log_position.hpp>
#include <basilreach/stand_in/store.hpp>

namespace basilreach::stand_in
{

// One committed transaction, or the start of a term when it has no changes.
struct log_entry
{
    log_position position;
    instant committed;
    std::shared_ptr<std::vector<operation> const> changes;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

// The replicated part of one database server.
struct replica_state
{
    // The greatest term that the server has heard of.
    std::uint64_t term = 1;
    bool is_primary = false;
    // Replication to and from the server works.
    bool connected = true;
    duration lag{};
    std::deque<log_entry> log;
    store data;
    // Counts demotions: a transaction that began before one cannot commit.
    std::uint64_t demotions = 0;
};

// Asynchronous replication between the servers of a group. A server that finds
// a connected primary of a later term follows it and discards what its own log
// holds beyond the common part. A primary without connection keeps its role.
class replication
{
public:
    // The first server is the primary of term 1.
    replication(std::size_t servers, duration lag);

    [[nodiscard]] std::size_t size() const noexcept
    {
        return servers_.size();
    }

    [[nodiscard]] replica_state const& operator[](std::size_t server) const
    {
        return servers_[server];
    }

    void set_lag(std::size_t server, duration lag);
    void set_connected(std::size_t server, bool connected);

    // Returns the position of the last entry in a server's log. Its term is
    // that of the entry: a server that has heard of a later term but lacks an
    // acknowledged write of an earlier one reports a position before it.
    [[nodiscard]] log_position position(std::size_t server) const;

    // Appends the changes of a transaction to the log of a primary.
    void
    commit(std::size_t server, std::vector<operation> changes, instant now);

    // Makes a server the primary of a term; returns whether it accepts. It
    // refuses a term below its own, and its own term unless it is the primary
    // of it already: another server has been promoted in that term.
    bool promote(std::size_t server, std::uint64_t term, instant now);

    // Moves the entries that have arrived by now.
    void replicate(instant now);

    // Returns when the next entry arrives somewhere.
    [[nodiscard]] instant next_arrival() const;

private:
    [[nodiscard]] replica_state const* leader_of(std::size_t server) const;
    void follow(replica_state& follower, replica_state const& leader);
    void trim();

    std::vector<replica_state> servers_;
    // The entries that every server holds are removed from the logs and their
    // changes kept here.
    store base_;
    log_position base_position_{1, 0};
};

} // namespace basilreach::stand_in

#endif

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

// A committed transaction. An entry without changes marks the start of a term.
struct log_entry
{
    log_position position;
    instant committed;
    std::shared_ptr<std::vector<operation> const> changes;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

// The replication state of one database server.
struct replica_state
{
    // The latest term that the server knows.
    std::uint64_t term = 1;
    bool is_primary = false;
    // Whether the server can replicate to and from the other servers.
    bool connected = true;
    duration lag{};
    std::deque<log_entry> log;
    store data;
    // Number of demotions. A transaction that changed data cannot commit when
    // the server was demoted after the transaction began.
    std::uint64_t demotions = 0;
};

// Asynchronous replication between the servers of a group. A server
// replicates from the reachable primary of the latest term. When that term is
// new to it, it first discards the entries of its own log after the last common
// one, and a primary of an earlier term is demoted. A disconnected primary
// keeps its role.
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

    // Returns the position of the last entry in a server's log. The term of the
    // position is that of the entry, not the latest term that the server knows:
    // a server that lacks an acknowledged write of an earlier term must report
    // a position before that write.
    [[nodiscard]] log_position position(std::size_t server) const;

    // Applies the changes of a transaction on a primary and appends them to its
    // log.
    void
    commit(std::size_t server, std::vector<operation> changes, instant now);

    // Makes a server the primary of a term; returns whether it accepts. A
    // server refuses a term before the one it knows. It refuses that term as
    // well, unless it is already the primary, because another server is then
    // the primary of the term.
    bool promote(std::size_t server, std::uint64_t term, instant now);

    // Applies the entries whose replication lag has passed to the replicas.
    void replicate(instant now);

    // Returns the time at which the next entry reaches a replica.
    [[nodiscard]] instant next_arrival() const;

private:
    [[nodiscard]] replica_state const* primary_for(std::size_t server) const;
    void switch_primary(replica_state& replica, replica_state const& primary);
    void trim();

    std::vector<replica_state> servers_;
    // Entries that every server has are removed from the logs; the snapshot is
    // the data and the position after the removed entries.
    store snapshot_;
    log_position snapshot_position_{1, 0};
};

} // namespace basilreach::stand_in

#endif

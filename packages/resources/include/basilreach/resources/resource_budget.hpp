#ifndef BASILREACH_RESOURCES_RESOURCE_BUDGET_HPP
#define BASILREACH_RESOURCES_RESOURCE_BUDGET_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <basilreach/base/instant.hpp>

namespace basilreach::resources
{

// The number of a client's connection. Numbers are not reused.
using connection_number = std::uint64_t;

struct budget_settings
{
    // While more bytes than this are buffered, connections that buffer more
    // than their fair part are held: they are not read.
    std::size_t hold_bytes = 0;
    // While more bytes than this are buffered, the connection that buffers most
    // is closed.
    std::size_t limit_bytes = 0;
    // A connection whose startup takes longer is closed.
    duration startup_timeout{};
    // A connection that is held for longer is closed, because what it buffers
    // is not available to others.
    duration hold_timeout{};

    friend bool operator==(budget_settings const&,
                           budget_settings const&) = default;
};

enum class close_reason : std::uint8_t
{
    startup_timeout,
    hold_timeout,
    memory
};

inline constexpr std::size_t close_reasons = 3;

// A connection to be closed, with the bytes that it buffers.
struct closure
{
    connection_number connection = 0;
    close_reason reason = close_reason::memory;
    std::size_t bytes = 0;

    friend bool operator==(closure const&, closure const&) = default;
};

// What the owner of the connections has to do.
struct budget_decision
{
    std::vector<connection_number> hold;
    std::vector<connection_number> resume;
    std::vector<closure> close;

    friend bool operator==(budget_decision const&,
                           budget_decision const&) = default;
};

struct budget_counts
{
    std::size_t bytes = 0;
    std::size_t held = 0;
    // Connections closed, by close_reason.
    std::array<std::uint64_t, close_reasons> closed{};

    budget_counts& operator+=(budget_counts const& it);

    friend bool operator==(budget_counts const&,
                           budget_counts const&) = default;
};

// Decides which client connections of a thread are held and closed, so that
// their buffers stay within a budget of memory.
class resource_budget
{
public:
    explicit resource_budget(budget_settings const& settings);

    // A connection was accepted; its startup begins.
    void begin_startup(connection_number connection, instant now);

    // The startup of a connection has ended.
    void end_startup(connection_number connection);

    // Sets the bytes that a connection buffers.
    void record(connection_number connection, std::size_t bytes);

    // A connection has ended.
    void remove(connection_number connection);

    // Returns what is to be done now. The connections to be closed have been
    // removed.
    [[nodiscard]] budget_decision tick(instant now);

    // Returns when tick() is to be called without any other event.
    [[nodiscard]] instant next_deadline() const;

    [[nodiscard]] budget_counts counts() const;

    [[nodiscard]] bool is_over_limit() const
    {
        return total_ > settings_.limit_bytes;
    }

private:
    // A connection that buffers bytes.
    struct usage
    {
        std::size_t bytes = 0;
        bool is_held = false;
        instant held_since{};
    };

    using usage_table = std::map<connection_number, usage>;

    void close(connection_number connection,
               close_reason reason,
               budget_decision& out);
    void close_late_startups(instant now, budget_decision& out);
    void close_largest(budget_decision& out);
    void close_long_held(instant now, budget_decision& out);
    void hold_largest(instant now, budget_decision& out);
    void resume_others(budget_decision& out);
    void release(usage_table::iterator it);
    [[nodiscard]] std::size_t fair_part() const;

    budget_settings settings_;
    std::size_t total_ = 0;
    bool has_changed_ = false;
    usage_table usages_;
    // The connections of usages_, the largest last.
    std::set<std::pair<std::size_t, connection_number>> by_bytes_;
    // The connections held, the longest held first.
    std::set<std::pair<instant, connection_number>> held_;
    std::map<connection_number, instant> startups_;
    std::set<std::pair<instant, connection_number>> startup_deadlines_;
    std::array<std::uint64_t, close_reasons> closed_{};
};

} // namespace basilreach::resources

#endif

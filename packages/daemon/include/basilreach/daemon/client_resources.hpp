#ifndef BASILREACH_DAEMON_CLIENT_RESOURCES_HPP
#define BASILREACH_DAEMON_CLIENT_RESOURCES_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include <basilreach/daemon/client_connection.hpp>
#include <basilreach/resources/resource_budget.hpp>
#include <basilreach/settings/daemon_settings.hpp>

namespace basilreach::daemon
{

// The number of client connections of a process, changed by all its traffic
// threads.
using connection_count = std::atomic<std::size_t>;

// Returns how many client connections a process may have with this limit of
// open descriptors. The rest is a reserve for servers, control hosts and files.
[[nodiscard]] std::size_t max_client_connections(std::size_t descriptors);

// Returns the limit of open descriptors of this process.
[[nodiscard]] std::size_t descriptor_limit();

// Returns a traffic thread's part of the process's budget.
[[nodiscard]] resources::budget_settings
make_budget_settings(settings::daemon_settings const& settings);

// Puts the decisions of a resource_budget into effect for the client
// connections of a traffic thread.
class client_resources
{
public:
    client_resources(settings::daemon_settings const& settings,
                     connection_count& connections);
    ~client_resources();
    client_resources(client_resources const&) = delete;
    client_resources& operator=(client_resources const&) = delete;

    void add_startup(client_connection& client, instant now);
    // Adds a client whose startup has ended.
    void add_session(client_connection& client);
    void remove(client_connection& client);
    void record(client_connection& client);

    // Holds, resumes and closes connections. Closed ones report to their owner.
    void tick(instant now);

    // Whether tick() has connections to close now. Asked after each event of a
    // client, since many may follow before the next tick.
    [[nodiscard]] bool is_over_limit() const
    {
        return budget_.is_over_limit();
    }

    // Returns the memory of freed buffers to the system. Called when the
    // closed connections have been destroyed.
    void release_memory();

    [[nodiscard]] instant next_deadline() const
    {
        return budget_.next_deadline();
    }

    [[nodiscard]] resources::budget_counts counts() const
    {
        return budget_.counts();
    }

    // Whether the process has as many client connections as it may have.
    [[nodiscard]] bool is_full() const
    {
        return connections_ >= max_connections_;
    }

private:
    void add(client_connection& client);
    void log(resources::closure const& it, instant now);

    resources::resource_budget budget_;
    connection_count& connections_;
    std::size_t max_connections_;
    resources::connection_number last_number_ = 0;
    std::unordered_map<resources::connection_number, client_connection*>
        clients_;
    // The most bytes buffered since freed memory was last returned.
    std::size_t peak_bytes_ = 0;
    instant log_window_end_{};
    std::size_t lines_left_ = 0;
    std::uint64_t lines_left_out_ = 0;
};

} // namespace basilreach::daemon

#endif

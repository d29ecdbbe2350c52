#ifndef BASILREACH_MEASURE_CONTROL_FLEET_HPP
#define BASILREACH_MEASURE_CONTROL_FLEET_HPP

#include "deployment.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <basilreach/base/deadline_queue.hpp>
#include <basilreach/daemon/event_loop.hpp>
#include <basilreach/daemon/lease_client.hpp>
#include <basilreach/daemon/link_table.hpp>

namespace basilreach::measure
{

// Resources that the daemons of a fleet have used together.
struct fleet_usage
{
    // CPU time of the fleet's thread, in seconds.
    double cpu = 0;
    // Bytes that the links have sent and received.
    double bytes = 0;

    friend bool operator==(fleet_usage const&, fleet_usage const&) = default;
};

// Runs the control part of many daemons in one thread. Each daemon has its own
// lease client and its own links to the control hosts, but no traffic threads:
// a state counts as adopted by them as soon as it is published.
class control_fleet
{
public:
    control_fleet(deployment const& hosts, std::size_t daemons);
    ~control_fleet();
    control_fleet(control_fleet const&) = delete;
    control_fleet& operator=(control_fleet const&) = delete;

    // Waits until each daemon that is not isolated has a lease; returns false
    // after 30 s.
    bool wait_for_leases() const;

    // Waits until all daemons have the same revision and it has not changed for
    // a second; returns false after 30 s.
    bool wait_for_stable_state() const;

    // Returns the lowest revision of all daemons.
    [[nodiscard]] std::uint64_t revision() const;

    // Restarts all daemons at once; they lose their state.
    void restart();

    // Discards all messages to and from a daemon, or stops doing so.
    void set_isolated(std::size_t daemon, bool is_isolated);

    [[nodiscard]] fleet_usage usage() const;

private:
    struct daemon_row
    {
        daemon::daemon_context context;
        std::unique_ptr<daemon::link_table> links;
        std::unique_ptr<daemon::lease_client> lease;
        std::size_t presumed_leader = 0;
        instant presumed_since;
        std::uint64_t adopted = 0;
    };

    void run();
    void open(std::size_t n);
    void receive(std::size_t n, messages::message const& it);
    void send(std::size_t n, messages::message const& it);
    void tick(std::size_t n, instant now);
    [[nodiscard]] std::size_t count_leased() const;

    deployment const& hosts_;
    std::vector<consensus::host_name> names_;
    daemon::event_loop loop_;
    std::vector<daemon_row> rows_;
    std::set<std::size_t> changed_;
    deadline_queue<std::size_t> deadlines_;
    std::vector<std::atomic<bool>> has_lease_;
    std::vector<std::atomic<bool>> is_isolated_;
    std::vector<std::atomic<std::uint64_t>> revisions_;
    std::atomic<bool> restart_requested_ = false;
    std::atomic<bool> stop_requested_ = false;
    std::thread thread_;
};

} // namespace basilreach::measure

#endif

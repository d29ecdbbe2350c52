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

// What the control sides of a fleet have used.
struct fleet_usage
{
    // Processor time of the thread, in seconds.
    double cpu = 0;
    // Bytes that the links have sent and received.
    double bytes = 0;

    friend bool operator==(fleet_usage const&, fleet_usage const&) = default;
};

// The control sides of many daemons on one thread: each has its own lease
// client and its own links to the control hosts, and no traffic threads. A
// state counts as adopted by the traffic threads as soon as it is published.
class control_fleet
{
public:
    control_fleet(deployment const& hosts, std::size_t daemons);
    ~control_fleet();
    control_fleet(control_fleet const&) = delete;
    control_fleet& operator=(control_fleet const&) = delete;

    // Waits until each daemon that is not cut off has a grant; returns whether
    // that happened within 30 s.
    bool wait_for_leases() const;

    // Waits until each daemon has the same state as the first one and no change
    // arrives for a second.
    bool wait_for_quiet() const;

    // The lowest revision that a daemon has.
    [[nodiscard]] std::uint64_t revision() const;

    // All daemons start again with empty memory, at once.
    void restart();

    // One daemon sends and receives nothing from now on, or does again.
    void cut(std::size_t daemon, bool is_cut);

    [[nodiscard]] fleet_usage usage() const;

private:
    struct daemon_row
    {
        daemon::daemon_context context;
        std::unique_ptr<daemon::link_table> links;
        std::unique_ptr<daemon::lease_client> lease;
        std::size_t guess = 0;
        instant guessed_at;
        std::uint64_t adopted = 0;
    };

    void run();
    void open(std::size_t n);
    void receive(std::size_t n, messages::message const& it);
    void send(std::size_t n, messages::message const& it);
    void tick(std::size_t n, instant now);
    [[nodiscard]] std::size_t leased() const;

    deployment const& hosts_;
    std::vector<consensus::host_name> names_;
    daemon::event_loop loop_;
    std::vector<daemon_row> rows_;
    std::set<std::size_t> changed_;
    deadline_queue<std::size_t> deadlines_;
    std::vector<std::atomic<bool>> has_lease_;
    std::vector<std::atomic<bool>> is_cut_;
    std::vector<std::atomic<std::uint64_t>> revisions_;
    std::atomic<bool> restarts_ = false;
    std::atomic<bool> stops_ = false;
    std::thread thread_;
};

} // namespace basilreach::measure

#endif

#ifndef BASILREACH_DAEMON_TEST_DAEMON_PROCESS_HPP
#define BASILREACH_DAEMON_TEST_DAEMON_PROCESS_HPP

#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <basilreach/daemon/control_thread.hpp>
#include <basilreach/daemon/traffic_thread.hpp>
#include <basilreach/telemetry/decision_log.hpp>

namespace basilreach::daemon
{

// Polls a condition until it holds, for at most ten seconds. Returns whether it
// holds.
bool eventually(std::function<bool()> const& condition);

// Runs the threads of one daemon, set up as in main.cpp.
class daemon_process
{
public:
    explicit daemon_process(settings::daemon_settings settings,
                            deployment_adapter adapter = {});
    ~daemon_process();
    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;

    // Asks for a planned stop.
    void request_stop();

    // Waits for the end of a planned stop. Returns the result of
    // control_thread::run().
    daemon_error wait();

    // Stops the traffic threads without a drain, as in a crash.
    void stop_traffic_threads();

private:
    telemetry::decision_log decisions_;
    daemon_context context_;
    std::unique_ptr<control_thread> control_;
    std::vector<std::unique_ptr<traffic_thread>> threads_;
    daemon_error error_ = daemon_error::none;
    std::thread thread_;
};

} // namespace basilreach::daemon

#endif

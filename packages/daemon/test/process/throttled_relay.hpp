#ifndef BASILREACH_DAEMON_TEST_THROTTLED_RELAY_HPP
#define BASILREACH_DAEMON_TEST_THROTTLED_RELAY_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <string>
#include <thread>

namespace basilreach::daemon
{

// Forwards TCP connections to another address at a limited rate, as the link of
// a small host does. All connections share the rate of a direction.
class throttled_relay
{
public:
    // Listens on IP:PORT and forwards to IP:PORT.
    throttled_relay(std::string const& listen,
                    std::string const& target,
                    std::size_t bytes_per_second);
    ~throttled_relay();
    throttled_relay(throttled_relay const&) = delete;
    throttled_relay& operator=(throttled_relay const&) = delete;

private:
    // One direction of a connection.
    struct direction
    {
        int from = -1;
        int to = -1;
        std::string buf;
    };

    struct connection
    {
        int client = -1;
        int server = -1;
        // From the client, and to it.
        std::array<direction, 2> directions;
        bool has_ended = false;
    };

    void run();
    void wait();
    void accept_clients();
    void forward(connection& it);
    void remove_ended();

    std::string target_;
    double bytes_per_second_;
    int listener_;
    std::list<connection> connections_;
    // Bytes that may be sent now, for each direction.
    std::array<double, 2> budget_{};
    std::chrono::steady_clock::time_point refilled_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace basilreach::daemon

#endif

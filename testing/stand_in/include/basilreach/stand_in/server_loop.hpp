#ifndef BASILREACH_STAND_IN_SERVER_LOOP_HPP
#define BASILREACH_STAND_IN_SERVER_LOOP_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <basilreach/base/result.hpp>
#include <basilreach/stand_in/database_group.hpp>

namespace basilreach::stand_in
{

enum class loop_error : std::uint8_t
{
    reactor_failed,
    timer_failed,
    listen_failed
};

// How the servers of the group announce themselves to the proxy.
struct announcement
{
    // Addresses of the admin console, as IP:PORT; none disables it.
    std::vector<std::string> consoles;
    std::string operator_key;
    std::vector<data_centre_name> data_centres;

    friend bool operator==(announcement const&, announcement const&) = default;
};

// Serves a database group on loopback sockets, with one reactor in one thread.
class server_loop
{
public:
    // Opens a listening socket for each server. Port 0 stands for any free
    // port.
    static result<std::unique_ptr<server_loop>, loop_error>
    open(group_settings settings,
         std::vector<std::uint16_t> const& ports,
         announcement announce = {});

    server_loop(server_loop const&) = delete;
    server_loop& operator=(server_loop const&) = delete;
    ~server_loop();

    // Returns the port of each server, in the order of the settings.
    [[nodiscard]] std::vector<std::uint16_t> const& ports() const noexcept;

    // Handles events until stop() is called.
    void run();

    // Makes run() return; any thread may call it.
    void stop();

private:
    class implementation;

    explicit server_loop(std::unique_ptr<implementation> loop);

    std::unique_ptr<implementation> loop_;
};

} // namespace basilreach::stand_in

#endif

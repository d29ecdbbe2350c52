#ifndef BASILREACH_STAND_IN_ANNOUNCER_HPP
#define BASILREACH_STAND_IN_ANNOUNCER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <libpq-fe.h>

#include "wake_timer.hpp"

namespace basilreach::stand_in
{

// Sends one statement to the admin consoles in turn until one accepts it. It
// runs in the reactor and never blocks.
class announcer : public ACE_Event_Handler
{
public:
    announcer(ACE_Reactor& reactor,
              std::vector<std::string> consoles,
              std::string operator_key,
              std::string statement);
    ~announcer() override;

    // Connects to the first console; the reactor drives the rest.
    void start();

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;

private:
    // What to do when the socket is ready next. The pointer is the state of the
    // connection.
    using step = void (announcer::*)();

    void connect();
    void poll_connection();
    void flush_query();
    void read_answer();
    void register_for(ACE_Reactor_Mask mask);
    void unregister();
    void schedule_retry();

    std::vector<std::string> consoles_;
    std::string operator_key_;
    std::string statement_;
    std::size_t next_console_ = 0;
    std::unique_ptr<PGconn, decltype(&PQfinish)> connection_{nullptr, PQfinish};
    ACE_HANDLE registered_handle_ = ACE_INVALID_HANDLE;
    step next_step_ = &announcer::poll_connection;
    // Timeout of the current attempt, or the delay before the next one.
    wake_timer timer_;
    bool is_accepted_ = false;
};

} // namespace basilreach::stand_in

#endif

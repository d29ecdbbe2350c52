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

// Sends one statement to the first admin console that accepts it, and tries
// again until one does. It works within the reactor and never blocks.
class announcer : public ACE_Event_Handler
{
public:
    announcer(ACE_Reactor& reactor,
              std::vector<std::string> consoles,
              std::string operator_key,
              std::string statement);
    ~announcer() override;

    // Begins with the first console; a later tick continues.
    void start();

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;

private:
    // One step of the connection; the pointer is the state.
    using step = void (announcer::*)();

    void connect();
    void connecting();
    void sending();
    void receiving();
    void wait_for(ACE_Reactor_Mask mask);
    void unregister();
    void try_next();

    std::vector<std::string> consoles_;
    std::string operator_key_;
    std::string statement_;
    std::size_t next_console_ = 0;
    std::unique_ptr<PGconn, decltype(&PQfinish)> connection_{nullptr, PQfinish};
    ACE_HANDLE registered_ = ACE_INVALID_HANDLE;
    step step_ = &announcer::connecting;
    // Ends an attempt, or the pause before the next one.
    wake_timer timer_;
    bool is_done_ = false;
};

} // namespace basilreach::stand_in

#endif

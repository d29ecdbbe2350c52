#ifndef BASILREACH_STAND_IN_WAKE_TIMER_HPP
#define BASILREACH_STAND_IN_WAKE_TIMER_HPP

#include <functional>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <basilreach/base/instant.hpp>

namespace basilreach::stand_in
{

// Returns the time of the process.
[[nodiscard]] instant read_clock();

// Calls a function at a deadline, from the reactor. It is a timer descriptor,
// since ACE_Dev_Poll_Reactor rounds the wait for its own timers down to
// milliseconds and polls without waiting for the rest.
class wake_timer : public ACE_Event_Handler
{
public:
    wake_timer(ACE_Reactor& reactor, std::function<void()> due);
    ~wake_timer() override;

    // Returns whether the system gave the timer a descriptor.
    [[nodiscard]] bool is_open() const noexcept;

    // Sets the deadline in place of the earlier one; never clears it.
    void set(instant deadline);

    [[nodiscard]] ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

private:
    std::function<void()> due_;
    ACE_HANDLE handle_;
    instant deadline_ = never;
};

} // namespace basilreach::stand_in

#endif

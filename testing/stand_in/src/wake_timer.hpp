#ifndef BASILREACH_STAND_IN_WAKE_TIMER_HPP
#define BASILREACH_STAND_IN_WAKE_TIMER_HPP

#include <functional>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <basilreach/base/instant.hpp>

namespace basilreach::stand_in
{

// Returns the time of the monotonic clock.
[[nodiscard]] instant read_clock();

// Calls a function from the reactor at a deadline. The timer uses a timerfd,
// because ACE_Dev_Poll_Reactor rounds the wait for its own timers down to whole
// milliseconds and then polls without waiting until they are due.
class wake_timer : public ACE_Event_Handler
{
public:
    wake_timer(ACE_Reactor& reactor, std::function<void()> callback);
    ~wake_timer() override;

    // Returns whether the system could create the timer.
    [[nodiscard]] bool is_open() const noexcept;

    // Replaces the deadline; the value `never` clears it.
    void set(instant deadline);

    [[nodiscard]] ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

private:
    std::function<void()> callback_;
    ACE_HANDLE handle_;
    instant deadline_ = never;
};

} // namespace basilreach::stand_in

#endif

#include <basilreach/daemon/event_loop.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include <sys/eventfd.h>
#include <unistd.h>

using namespace basilreach;
using namespace basilreach::daemon;
using namespace std::chrono_literals;

namespace
{

// A handle that is always ready, and whose handler takes a while.
class busy_handler : public ACE_Event_Handler
{
public:
    busy_handler(event_loop& loop, std::size_t& calls)
        : loop_(loop), calls_(calls), handle_(eventfd(1, EFD_NONBLOCK))
    {
        loop_.reactor().register_handler(this, READ_MASK);
    }
    busy_handler(busy_handler const&) = delete;
    busy_handler& operator=(busy_handler const&) = delete;

    ~busy_handler() override
    {
        loop_.reactor().remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        close(handle_);
    }

    int handle_input(ACE_HANDLE) override
    {
        ++calls_;
        auto const end = read_clock() + 2ms;
        while (read_clock() < end)
        {
        }
        return 0;
    }

    ACE_HANDLE get_handle() const override
    {
        return handle_;
    }

private:
    event_loop& loop_;
    std::size_t& calls_;
    ACE_HANDLE handle_;
};

} // namespace

// Guards against a leader that sends its heartbeats too late, because the
// messages of many daemons are handled in one round.
TEST_CASE("a round of the event loop ends although more handles are ready")
{
    event_loop loop;
    std::size_t calls = 0;
    std::vector<std::unique_ptr<busy_handler>> handlers;
    for (int n = 0; n != 100; ++n)
        handlers.push_back(std::make_unique<busy_handler>(loop, calls));
    loop.run_once(never);
    CHECK(calls >= 1);
    CHECK(calls <= 10);
}

#ifndef BASILREACH_MEASURE_CONSOLE_HPP
#define BASILREACH_MEASURE_CONSOLE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <libpq-fe.h>

namespace basilreach::measure
{

// A connection to the admin console of a daemon.
class console
{
public:
    explicit console(std::uint16_t port);

    // The first value of the answer, or an empty text after an error.
    [[nodiscard]] std::string run(std::string const& command);

    // One property of SHOW STATUS, or an empty text.
    [[nodiscard]] std::string status(std::string const& subject,
                                     std::string const& name,
                                     std::string const& property);

private:
    std::unique_ptr<PGconn, void (*)(PGconn*)> connection_;
};

// The withdrawal of a key that no rule names: a small change.
[[nodiscard]] std::string withdrawal(std::uint64_t n);

// Polls a condition until it holds; returns whether it did in time.
bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds limit,
                std::chrono::milliseconds pause);

} // namespace basilreach::measure

#endif

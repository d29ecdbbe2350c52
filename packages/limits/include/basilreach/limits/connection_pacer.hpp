#ifndef BASILREACH_LIMITS_CONNECTION_PACER_HPP
#define BASILREACH_LIMITS_CONNECTION_PACER_HPP

#include <compare>

#include <basilreach/base/instant.hpp>

namespace basilreach::limits
{

struct pacer_settings
{
    // Connections that may be opened at once.
    double burst = 6;
    // One more connection may be opened after this many average open times.
    int interval_factor = 8;
    // Open time that is assumed until one has been measured.
    duration initial_open_time = std::chrono::milliseconds(25);
    // Maximum time until one more connection may be opened.
    duration max_interval = std::chrono::seconds(1);

    friend auto operator<=>(pacer_settings const&,
                            pacer_settings const&) = default;
};

// Bounds the fraction of a server's time that is used to open connections, with
// a token bucket. Opening a connection occupies one of the server's slots for
// longer than most statements. A full server opens them slowly, and is then
// asked for fewer.
class connection_pacer
{
public:
    explicit connection_pacer(pacer_settings settings = {});

    [[nodiscard]] bool may_open(instant now) const;

    // Returns when the next connection may be opened.
    [[nodiscard]] instant next_open() const;

    void record_start(instant now);

    // Records how long a connection took from the attempt until it could be
    // used.
    void record_open(duration time, instant now);

private:
    [[nodiscard]] double budget(instant now) const;
    [[nodiscard]] duration interval() const;

    pacer_settings settings_;
    // Connections that could be opened at `updated_`.
    double budget_;
    instant updated_;
    duration open_time_;
};

} // namespace basilreach::limits

#endif

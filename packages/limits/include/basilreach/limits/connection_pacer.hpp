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
    // One more may be opened each time that this many openings would take.
    int spacing = 8;
    // Time of an opening before one has been measured.
    duration first_open_time = std::chrono::milliseconds(25);
    // Longest time until one more may be opened.
    duration longest = std::chrono::seconds(1);

    friend auto operator<=>(pacer_settings const&,
                            pacer_settings const&) = default;
};

// Bounds the share of a server's time that goes into opening connections. An
// opening occupies one of the server's slots for longer than most statements,
// so a server that is full opens them slowly, and is then asked for fewer.
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
    // Openings that were left at `updated_`.
    double left_;
    instant updated_;
    duration open_time_;
};

} // namespace basilreach::limits

#endif
